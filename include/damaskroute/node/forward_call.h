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

/// Renders the call that forwards `request` to the server called `backend`, to be answered by
/// `deadline`.
ExchangeRequest MakeForwardCall(const CallerRequest& request, const BackendName& backend,
                                TimePoint deadline, TimePoint now, const ForwardProtocol& protocol);

/// What the end of a forwarded call means. `query`: only a success is a part of an answer.
CallResult JudgeForwardCall(const CallerRequest& request, ExchangeResult result, bool query,
                            const ForwardProtocol& protocol);

/// Renders the final answer to a caller. A merged answer has the greatest `top_records` records.
HttpResponse MakeForwardResponse(const CallerRequest& request, ForwardAnswer answer,
                                 std::size_t top_records, const ForwardProtocol& protocol);

/// Renders a refusal of a request that did not run, with a delay after which to come again.
HttpResponse MakeForwardRefusal(const CallerRequest& request, int status, const char* reason,
                                std::chrono::milliseconds retry_after,
                                const ForwardProtocol& protocol);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_CALL_H_
