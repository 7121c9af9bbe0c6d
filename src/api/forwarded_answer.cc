#include "damaskroute/api/forwarded_answer.h"

namespace damaskroute {

HttpResponse MakeForwardedAnswer(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  if (status >= 400) response.content_type = "application/problem+json";
  response.body = body;
  return response;
}

}  // namespace damaskroute
