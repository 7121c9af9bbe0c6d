#ifndef DAMASKROUTE_PEER_CONTENT_HASH_H_
#define DAMASKROUTE_PEER_CONTENT_HASH_H_

#include <cstdint>

namespace damaskroute {

/// Hash (`Hash64`) of a whole document. Detects missing or mismatched parts. Not cryptographic:
/// peer authentication protects against forgery.
using ContentHash = std::uint64_t;

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CONTENT_HASH_H_
