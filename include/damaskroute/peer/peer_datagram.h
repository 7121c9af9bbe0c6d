#ifndef DAMASKROUTE_PEER_PEER_DATAGRAM_H_
#define DAMASKROUTE_PEER_PEER_DATAGRAM_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/membership/member.h"

namespace damaskroute {

/// Purpose of a datagram.
enum class DatagramKind : std::uint8_t {
  kProbe,          ///< Asks the receiver for an `kAck` with the same number.
  kAck,            ///< Answers a probe, directly or on behalf of the probed member.
  kIndirectProbe,  ///< Asks the receiver to probe `target` and to pass its ack on.
};

/// Greatest store age that is told; also stands for none known.
inline constexpr std::chrono::milliseconds kMaxStoreAge = std::chrono::hours(24);

/// Message of the membership protocol. Each one also carries news.
struct PeerDatagram {
  DatagramKind kind = DatagramKind::kProbe;
  std::uint64_t sequence = 0;  ///< Counted up by the sender with each datagram.
  std::uint64_t number = 0;    ///< Names the probe.
  Member sender;               ///< The sender as it knows itself.
  Endpoint target;             ///< Set in an indirect probe only.
  Revision config_revision = 0;
  Revision roster_revision = 0;
  std::chrono::milliseconds store_age = kMaxStoreAge;  ///< Since the last contact with the store.
  std::vector<Member> updates;

  friend bool operator==(const PeerDatagram&, const PeerDatagram&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_DATAGRAM_H_
