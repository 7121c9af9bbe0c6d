#ifndef DAMASKROUTE_INTENT_HTTP_REPLY_H_
#define DAMASKROUTE_INTENT_HTTP_REPLY_H_

#include <string>

namespace damaskroute {

/// Answer of the operators' interface.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Problem document (RFC 7807). `type` is a short stable name for programs, `detail` says what
/// failed and `next_step` what the operator can do.
HttpReply ProblemReply(int status, const std::string& type, const std::string& title,
                       const std::string& detail, const std::string& next_step);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_HTTP_REPLY_H_
