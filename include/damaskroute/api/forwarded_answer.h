#ifndef DAMASKROUTE_API_FORWARDED_ANSWER_H_
#define DAMASKROUTE_API_FORWARDED_ANSWER_H_

#include <string>

#include "damaskroute/http/http_response.h"

namespace damaskroute {

/// Builds the response to a caller from the status and body that another node returned.
HttpResponse MakeForwardedAnswer(int status, const std::string& body);

}  // namespace damaskroute

#endif  // DAMASKROUTE_API_FORWARDED_ANSWER_H_
