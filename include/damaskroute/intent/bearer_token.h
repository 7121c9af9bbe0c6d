#ifndef DAMASKROUTE_INTENT_BEARER_TOKEN_H_
#define DAMASKROUTE_INTENT_BEARER_TOKEN_H_

#include <string>

namespace damaskroute {

/// Whether an `Authorization` header carries the token. The comparison takes the same time
/// wherever the texts differ, and whatever their lengths.
bool MatchesBearerToken(const std::string& authorization, const std::string& token);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_BEARER_TOKEN_H_
