#ifndef TESTS_SUPPORT_FLOODS_H_
#define TESTS_SUPPORT_FLOODS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace damaskroute {

/// Bytes that a peer sends without end: `start`, and then `filler` again and again.
struct Flood {
  const char* name;
  std::string start;
  std::string filler;
  std::uint64_t bytes_per_body_byte = 1;  ///< Sent for each byte of the body, with its framing.
};

inline const std::string kOk = "HTTP/1.1 200 OK\r\n";
inline const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

inline std::vector<Flood> Floods() {
  return {
      {"reason", "HTTP/1.1 200 ", "a"},
      {"field", kOk + "X: ", "a"},
      {"fields", kOk, "X: a\r\n"},
      {"zeroes", std::string(1, '\0'), std::string(1, '\0')},
      {"empty lines", "\r\n", "\r\n"},
      {"body without length", kOk + "\r\n", "a"},
      {"body longer than it can be", kOk + "Content-Length: 999999999999\r\n\r\n", "a"},
      {"chunk size", kChunked, "0"},
      {"chunk extension", kChunked + "1;a=", "a"},
      {"chunks", kChunked, "1\r\na\r\n", 6},
      {"one chunk", kChunked + "FFFFFFFFFFF\r\n", "a"},
      {"trailer", kChunked + "1\r\na\r\n0\r\nX: ", "a"},
      {"trailers", kChunked + "1\r\na\r\n0\r\n", "X: a\r\n"},
      {"interim answers", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
}

/// Capacity of the socket buffers beyond what the client reads: 6 MB to receive, 4 MB to send.
inline constexpr std::uint64_t kSocketBufferBytes = 10 << 20;

/// An answer that stops after more than a thirtieth of the budget of all answers.
inline const std::string kIncomplete =
    kOk + "Content-Length: 4000000\r\n\r\n" + std::string(std::size_t{3} << 20, 'a');

/// Number of such answers of which at most half fit into the budget.
inline constexpr std::size_t kIncompleteAnswers = 50;

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_FLOODS_H_
