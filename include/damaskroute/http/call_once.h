#ifndef DAMASKROUTE_HTTP_CALL_ONCE_H_
#define DAMASKROUTE_HTTP_CALL_ONCE_H_

#include "damaskroute/core/endpoint.h"
#include "damaskroute/http/backend_client_options.h"
#include "damaskroute/http/exchange_request.h"
#include "damaskroute/http/exchange_result.h"

namespace damaskroute {

/// Sends `request` once, on a new connection, and blocks until the exchange has ended, which
/// `request.time_left` bounds. For threads without an event loop.
ExchangeResult CallOnce(const Endpoint& endpoint, ExchangeRequest request,
                        BackendClientOptions options);

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_CALL_ONCE_H_
