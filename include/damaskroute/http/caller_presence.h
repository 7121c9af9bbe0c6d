#ifndef DAMASKROUTE_HTTP_CALLER_PRESENCE_H_
#define DAMASKROUTE_HTTP_CALLER_PRESENCE_H_

#include <functional>

namespace damaskroute {

/// Notifies the handler of a request when the caller closes the connection before the response is
/// sent. Used on the loop of the connection only.
struct CallerPresence {
  bool disconnected = false;
  std::function<void()> on_disconnect;  ///< Called at most once; may be empty.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_CALLER_PRESENCE_H_
