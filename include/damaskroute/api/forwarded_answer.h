#ifndef DAMASKROUTE_API_FORWARDED_ANSWER_H_
#define DAMASKROUTE_API_FORWARDED_ANSWER_H_

#include <string>

#include "damaskroute/http/http_response.h"

namespace damaskroute {

/// Response to a caller made of the status and body that another node sent.
HttpResponse MakeForwardedAnswer(int status, const std::string& body);

}  // namespace damaskroute

#endif  // DAMASKROUTE_API_FORWARDED_ANSWER_H_
