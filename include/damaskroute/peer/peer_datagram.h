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
  kProbe,          ///< Requests a `kAck` with the same probe id.
  kAck,            ///< Acknowledges a probe, directly or on behalf of the probed member.
  kIndirectProbe,  ///< Requests that the receiver probes `target` and relays its ack.
};

/// Maximum store age in a datagram; also means that no contact with the store is known.
inline constexpr std::chrono::milliseconds kMaxStoreAge = std::chrono::hours(24);

/// Message of the membership protocol. Member updates are piggybacked on each message.
struct PeerDatagram {
  DatagramKind kind = DatagramKind::kProbe;
  std::uint64_t sequence = 0;  ///< Incremented by the sender with each datagram.
  std::uint64_t probe_id = 0;  ///< Copied from the probe into its ack.
  Member sender;               ///< The sender's own state.
  Endpoint target;             ///< Set in indirect probes only.
  Revision config_revision = 0;
  Revision roster_revision = 0;
  std::chrono::milliseconds store_age = kMaxStoreAge;  ///< Since the last contact with the store.
  std::vector<Member> updates;

  friend bool operator==(const PeerDatagram&, const PeerDatagram&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_DATAGRAM_H_
