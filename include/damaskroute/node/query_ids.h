#ifndef DAMASKROUTE_NODE_QUERY_IDS_H_
#define DAMASKROUTE_NODE_QUERY_IDS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Generates query ids. The low byte is the index of the event loop that owns the query, to which
/// replies are routed; the high bits differ between successive processes of a node, so that a reply
/// to an earlier process matches no query. Thread-safe.
class QueryIds {
 public:
  explicit QueryIds(Incarnation incarnation) : base_(incarnation << 40) {}

  std::uint64_t Next(std::size_t loop) {
    std::uint64_t count = next_.fetch_add(1, std::memory_order_relaxed) & 0xffff'ffffU;
    return base_ | (count << 8) | (loop & 0xffU);
  }

  static std::size_t LoopOf(std::uint64_t query_id) { return query_id & 0xffU; }

 private:
  std::uint64_t base_;
  std::atomic<std::uint64_t> next_{1};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_QUERY_IDS_H_
