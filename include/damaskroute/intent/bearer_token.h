#ifndef DAMASKROUTE_INTENT_BEARER_TOKEN_H_
#define DAMASKROUTE_INTENT_BEARER_TOKEN_H_

#include <string>

namespace damaskroute {

/// Whether an `Authorization` header carries the token. Constant-time comparison: neither the
/// position of the first difference nor the length of the token affects its duration.
bool MatchesBearerToken(const std::string& authorization, const std::string& token);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_BEARER_TOKEN_H_
