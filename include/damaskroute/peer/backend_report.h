#ifndef DAMASKROUTE_PEER_BACKEND_REPORT_H_
#define DAMASKROUTE_PEER_BACKEND_REPORT_H_

#include <cstdint>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"

namespace damaskroute {

/// State of a backend server as its holder knows it.
enum class BackendState : std::uint8_t { kUnknown, kCold, kWarm, kDraining, kDown };

/// A key range that a backend server holds in an index version.
struct HeldRange {
  IndexVersion version = 0;
  KeyRange range;

  friend bool operator==(const HeldRange&, const HeldRange&) = default;
};

/// What a holder knows about a backend server, sent to the nodes that coordinate its service.
struct BackendReport {
  NodeName holder;
  std::uint64_t sequence = 0;  ///< Grows with each report of the holder's process.
  ServiceName service;
  BackendName backend;
  BootId boot_id = 0;
  BackendState state = BackendState::kUnknown;
  std::uint32_t share = 0;  ///< Slots that the holder may use now.
  std::vector<HeldRange> held;

  friend bool operator==(const BackendReport&, const BackendReport&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_BACKEND_REPORT_H_
