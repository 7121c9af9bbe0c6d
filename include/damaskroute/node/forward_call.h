#ifndef DAMASKROUTE_NODE_FORWARD_CALL_H_
#define DAMASKROUTE_NODE_FORWARD_CALL_H_

#include "damaskroute/core/time.h"
#include "damaskroute/forward/call_result.h"
#include "damaskroute/forward/forward_answer.h"
#include "damaskroute/http/exchange_request.h"
#include "damaskroute/http/exchange_result.h"
#include "damaskroute/http/http_response.h"
#include "damaskroute/node/caller_request.h"
#include "damaskroute/node/forward_protocol.h"

namespace damaskroute {

/// Renders the call that forwards `request` to the server `backend`, with the time left until
/// `deadline`. Leaves out the body, which all calls of a query share.
ExchangeRequest MakeForwardCall(const CallerRequest& request, const BackendName& backend,
                                TimePoint deadline, TimePoint now, const ForwardProtocol& protocol);

/// Classifies the result of a forwarded call. `query`: the call is for a part of a query's answer,
/// so that any status other than a success counts as a server error.
CallResult ClassifyForwardCall(const CallerRequest& request, ExchangeResult result, bool query,
                               const ForwardProtocol& protocol);

/// Renders the final response to a caller. A merged answer holds the greatest `top_records`
/// records.
HttpResponse MakeForwardResponse(const CallerRequest& request, ForwardAnswer answer,
                                 std::size_t top_records, const ForwardProtocol& protocol);

/// Renders the response to a request that was refused or failed. A positive `retry_after` is sent
/// as Retry-After.
HttpResponse MakeForwardRefusal(const CallerRequest& request, int status, const char* reason,
                                std::chrono::milliseconds retry_after,
                                const ForwardProtocol& protocol);

/// Whether a response with this status states that the request has not run and will not run.
bool PromisesNotRun(int status);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_CALL_H_
