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

/// HTTP/1.1 client for one backend server with a bounded number of connections. Sends each request
/// exactly once: a broken connection ends the exchange, and the client never retries. cpprestsdk's
/// client is not used because it retries (docs/decisions/0002). All members must be called on the
/// event loop given to the constructor.
class BackendClient {
 public:
  using Callback = std::function<void(ExchangeResult)>;

  BackendClient(asio::io_context& loop, const Endpoint& endpoint, int max_connections,
                BackendClientOptions options = {});

  /// Ends all exchanges without calling their callbacks.
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// Starts an exchange. Calls `done` exactly once, asynchronously, on the loop. The exchange ends
  /// with `kConnectFailed` if all connections are in use. Returns an id for `Cancel`.
  std::uint64_t Start(ExchangeRequest request, Callback done);

  /// Whether `Start` can use an idle connection or open a new one.
  bool CanStart() const;

  /// Opens a connection and keeps it for the next exchange. Calls `done` exactly once,
  /// asynchronously, on the loop. Without a connect timeout the system's timeout applies.
  void OpenConnection(std::function<void(bool opened)> done);

  /// Finds out whether the server refuses connections, as it does after a crash. Opens a connection
  /// like `OpenConnection`, unless an idle one is intact. Calls `done` exactly once,
  /// asynchronously, on the loop; with false if the server cannot be reached at all.
  void CheckRefused(std::function<void(bool refused)> done);

  /// Ends the exchange with `kCancelled` and closes its connection. Ignores unknown ids.
  void Cancel(std::uint64_t id);

  /// Sets the connection limit. Excess connections are closed when they become idle.
  void SetMaxConnections(int max_connections);

  /// Sets the number of open connections above which a connection is closed when it becomes idle.
  /// Defaults to the connection limit.
  void SetMaxIdleConnections(int max_idle_connections);

  /// Closes the connections that no exchange uses. Returns their number.
  std::size_t CloseIdleConnections();

  /// Number of open or opening connections.
  std::size_t open_connections() const;

  /// Number of connection attempts so far.
  std::uint64_t connect_count() const;

 private:
  struct Connection;
  struct State;

  // Without a connection, calls `done` with `kConnectFailed`.
  void Open(Callback done);

  std::shared_ptr<State> state_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_BACKEND_CLIENT_H_
