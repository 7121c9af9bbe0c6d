#ifndef DAMASKROUTE_PEER_BACKEND_REPORT_H_
#define DAMASKROUTE_PEER_BACKEND_REPORT_H_

#include <cstdint>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"

namespace damaskroute {

/// State of a backend server as a holder sees it.
enum class BackendState : std::uint8_t { kUnknown, kCold, kWarm, kDraining, kDown };

/// Key range of an index version that a backend server holds.
struct HeldRange {
  IndexVersion version = 0;
  KeyRange range;

  friend bool operator==(const HeldRange&, const HeldRange&) = default;
};

/// State of a backend server, sent by a holder to the coordinators of its service.
struct BackendReport {
  NodeName holder;
  std::uint64_t sequence = 0;  ///< Increases with each report of the holder process.
  ServiceName service;
  BackendName backend;
  BootId boot_id = 0;
  BackendState state = BackendState::kUnknown;
  std::uint32_t share = 0;  ///< Slots that the holder may currently use.
  std::vector<HeldRange> held;

  friend bool operator==(const BackendReport&, const BackendReport&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_BACKEND_REPORT_H_
