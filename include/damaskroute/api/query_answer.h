#ifndef DAMASKROUTE_API_QUERY_ANSWER_H_
#define DAMASKROUTE_API_QUERY_ANSWER_H_

#include <string>

#include "damaskroute/http/http_response.h"
#include "damaskroute/scatter/query_result.h"

namespace damaskroute {

/// Renders the result of a query as a response: the rows with the index version and the measured
/// coverage, or a problem document if no shard answered.
HttpResponse MakeQueryAnswer(const QueryResult& result, const std::string& request_id);

}  // namespace damaskroute

#endif  // DAMASKROUTE_API_QUERY_ANSWER_H_
