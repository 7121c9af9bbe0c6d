#ifndef DAMASKROUTE_INTENT_INTENT_SERVER_H_
#define DAMASKROUTE_INTENT_INTENT_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/http/http_response.h"

namespace damaskroute {

/// Settings of the operators' interface.
struct IntentServerSettings {
  Endpoint address;   ///< Listening address, reachable by operators only.
  std::string token;  ///< Bearer token, at least 16 bytes. Never logged.
  /// Threads of cpprestsdk's pool. The library's default is 40; 4 cost far less and are enough
  /// for operators.
  int threads = 4;
};

/// Handlers of the server. The first three run one at a time on a thread of the server and may
/// block on the store; the others run concurrently on the pool and must not block.
struct IntentOperations {
  std::function<HttpResponse(const std::string& body, bool is_yaml)> make_plan;
  std::function<HttpResponse(const std::string& plan_id, const std::string& body)> confirm;
  std::function<HttpResponse()> history;
  std::function<HttpResponse()> config;
  std::function<std::string()> status;     ///< JSON.
  std::function<std::string()> burn;       ///< JSON.
  std::function<std::string()> burn_html;  ///< HTML page.
  std::function<std::string()> metrics;    ///< Text exposition format.
};

/// HTTP server of the operators' interface, based on cpprestsdk's listener.
///
/// The listener reads an entire body before the handler can refuse it, and limits neither headers
/// nor idle connections. The address must therefore be reachable by operators only; callers use
/// another port with another server. POST requests without `Content-Length` or with more than
/// 4 MB are refused.
class IntentServer {
 public:
  /// Starts listening. InvalidArgument if the token is too short; Unavailable if the address
  /// cannot be bound.
  static absl::StatusOr<std::unique_ptr<IntentServer>> Start(IntentServerSettings settings,
                                                             IntentOperations operations);

  /// Stops listening, completes the queued requests and joins the thread.
  ~IntentServer();

  IntentServer(const IntentServer&) = delete;
  IntentServer& operator=(const IntentServer&) = delete;

 private:
  class Impl;
  explicit IntentServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

/// Operations that call `service`, an `IntentService` that must outlive them. The other functions
/// stay empty.
template <typename Service>
IntentOperations MakeIntentOperations(Service* service) {
  IntentOperations operations;
  operations.make_plan = [service](const std::string& body, bool is_yaml) {
    return service->MakePlan(body, is_yaml);
  };
  operations.confirm = [service](const std::string& plan_id, const std::string& body) {
    return service->Confirm(plan_id, body);
  };
  operations.history = [service] { return service->History(); };
  operations.config = [service] { return service->Config(); };
  return operations;
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_INTENT_SERVER_H_
