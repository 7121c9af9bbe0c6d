#ifndef DAMASKROUTE_PEER_CONTENT_HASH_H_
#define DAMASKROUTE_PEER_CONTENT_HASH_H_

#include <cstdint>

namespace damaskroute {

/// Hash (`Hash64`) of a whole document. Guards against lost or mixed-up parts; forgery is
/// prevented by the authentication of the peers.
using ContentHash = std::uint64_t;

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CONTENT_HASH_H_
