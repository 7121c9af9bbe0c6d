#ifndef DAMASKROUTE_NODE_SHARD_EXCHANGE_H_
#define DAMASKROUTE_NODE_SHARD_EXCHANGE_H_

#include <string>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/time.h"
#include "damaskroute/http/exchange_request.h"
#include "damaskroute/http/exchange_result.h"
#include "damaskroute/node/holder_call.h"
#include "damaskroute/peer/action_result.h"
#include "damaskroute/peer/shard_reply.h"

namespace damaskroute {

/// Request id sent to the backend server: the action id, or the caller's request id with the query
/// id appended, because callers may reuse a request id.
std::string WireRequestId(const HolderCall& call);

/// Renders `POST /shard/query` or `POST /shard/action` for `call`.
ExchangeRequest MakeExchangeRequest(const HolderCall& call, const Endpoint& backend, TimePoint now);

/// Renders `DELETE /shard/calls/ID/ATTEMPT`, which makes the backend server stop the call.
ExchangeRequest MakeCancelRequest(const HolderCall& call, const Endpoint& backend);

/// Renders `GET /health`.
ExchangeRequest MakeHealthRequest(const Endpoint& backend);

/// Classifies the result of a call's exchange. A response is checked against the request: ids,
/// version, range and rows. `rows` receives the rows of a `kRows` outcome.
ShardOutcome ClassifyExchange(const HolderCall& call, const ExchangeResult& result,
                              std::string& rows);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_SHARD_EXCHANGE_H_
