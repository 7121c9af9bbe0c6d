#ifndef DAMASKROUTE_SRC_HTTP_HTTP_MESSAGES_H_
#define DAMASKROUTE_SRC_HTTP_HTTP_MESSAGES_H_

// Must come before Boost.Beast, which includes Boost.Asio.
#include "damaskroute/core/asio.h"
//
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "damaskroute/http/http_response.h"
#include "damaskroute/http/problem.h"

namespace damaskroute::internal {

/// Converts a response to a Beast message.
boost::beast::http::response<boost::beast::http::string_body> ToBeast(HttpResponse response,
                                                                      bool keep_alive);

/// Returns the problem to report for a request that could not be read.
Problem ProblemOf(const boost::system::error_code& error);

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_HTTP_MESSAGES_H_
