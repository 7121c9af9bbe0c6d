#include <cstdint>
#include <string>

#include "src/http/response_reader.h"

// Must come before Boost.Beast, which includes Boost.Asio.
#include "damaskroute/core/asio.h"

// Reads arbitrary bytes as a server's response in two pieces. This must return an error or a
// result, never crash, and the result is taken only from a complete response.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  damaskroute::BackendClientOptions options;
  options.keep_headers = true;
  damaskroute::internal::ResponseReader reader(options);
  reader.eager(true);
  std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  std::size_t split = data[0] % (bytes.size() + 1);
  boost::system::error_code error;
  std::size_t read = reader.put(boost::asio::buffer(bytes.data(), split), error);
  if (!error || error == boost::beast::http::error::need_more) {
    error = {};
    reader.put(boost::asio::buffer(bytes.data() + read, bytes.size() - read), error);
  }
  if (!error && reader.is_done()) (void)reader.TakeResult();
  return 0;
}
