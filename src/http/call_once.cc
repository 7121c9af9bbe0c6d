#include "damaskroute/http/call_once.h"

#include <optional>
#include <utility>

#include "damaskroute/core/asio.h"
#include "damaskroute/http/backend_client.h"

namespace damaskroute {

ExchangeResult CallOnce(const Endpoint& endpoint, ExchangeRequest request,
                        BackendClientOptions options) {
  asio::io_context loop{1};
  std::optional<ExchangeResult> result;
  BackendClient client(loop, endpoint, /*max_connections=*/1, std::move(options));
  client.Start(std::move(request), [&](ExchangeResult ended) { result = std::move(ended); });
  while (!result && loop.run_one() > 0) {
  }
  return result ? std::move(*result) : ExchangeResult{};
}

}  // namespace damaskroute
