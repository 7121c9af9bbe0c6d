#ifndef DAMASKROUTE_SRC_HTTP_HTTP_MESSAGES_H_
#define DAMASKROUTE_SRC_HTTP_HTTP_MESSAGES_H_

#include <optional>

// Must come before Boost.Beast, which includes Boost.Asio.
#include "damaskroute/core/asio.h"
//
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "damaskroute/http/http_response.h"
#include "damaskroute/http/problem.h"

namespace damaskroute::internal {

/// Renders a response as a message of Beast.
boost::beast::http::response<boost::beast::http::string_body> ToBeast(HttpResponse response,
                                                                      bool keep_alive);

/// What is wrong with a header; nullopt if it is acceptable.
std::optional<Problem> CheckHeader(
    const boost::beast::http::request<boost::beast::http::string_body>& request);

/// The problem to report after a request could not be read.
Problem ProblemOf(const boost::system::error_code& error);

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_HTTP_MESSAGES_H_
