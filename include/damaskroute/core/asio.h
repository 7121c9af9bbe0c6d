#ifndef DAMASKROUTE_CORE_ASIO_H_
#define DAMASKROUTE_CORE_ASIO_H_

// Boost.Asio 1.74 uses std::exchange without including <utility>, which fails under C++20.
#include <utility>
//
#include <boost/asio.hpp>

namespace damaskroute {
namespace asio = boost::asio;
}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_ASIO_H_
