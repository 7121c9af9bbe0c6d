#ifndef DAMASKROUTE_HTTP_BACKEND_CLIENT_H_
#define DAMASKROUTE_HTTP_BACKEND_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/http/backend_client_options.h"
#include "damaskroute/http/exchange_request.h"
#include "damaskroute/http/exchange_result.h"

namespace damaskroute {

/// HTTP/1.1 client for one backend server with a bounded number of connections. It sends each
/// request once: a broken connection ends the exchange and is never followed by another attempt.
/// That is why cpprestsdk's client is not used here (docs/decisions/0002). All members must be
/// called on the event loop given to the constructor.
class BackendClient {
 public:
  using Callback = std::function<void(ExchangeResult)>;

  BackendClient(asio::io_context& loop, const Endpoint& endpoint, int max_connections,
                BackendClientOptions options = {});

  /// Ends all exchanges; their callbacks are not called any more.
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// Starts an exchange; `done` is called once, later, on the loop. Ends with `kConnectFailed` if
  /// all connections are in use. Returns an id for `Cancel`.
  std::uint64_t Start(ExchangeRequest request, Callback done);

  /// Whether `Start` would find a connection now or open one.
  bool CanStart() const;

  /// Opens a connection and keeps it for the next exchange; `done` is called once, later, on the
  /// loop, with whether it was opened. Without a connect timeout it waits as long as the system.
  void OpenConnection(std::function<void(bool opened)> done);

  /// Ends the exchange with `kCancelled` by closing its connection. Unknown ids are ignored.
  void Cancel(std::uint64_t id);

  /// Changes the limit. Connections above it are closed when they become idle.
  void SetMaxConnections(int max_connections);

  /// Changes how many connections may be open for one of them to stay open when it becomes idle.
  /// By default as many as the limit.
  void SetMaxKept(int max_kept);

  /// Number of open or opening connections.
  std::size_t open_connections() const;

  /// Number of connections opened so far.
  std::uint64_t connects() const;

 private:
  struct Connection;
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_BACKEND_CLIENT_H_
