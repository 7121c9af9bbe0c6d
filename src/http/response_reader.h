#ifndef DAMASKROUTE_SRC_HTTP_RESPONSE_READER_H_
#define DAMASKROUTE_SRC_HTTP_RESPONSE_READER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "damaskroute/http/backend_client_options.h"
#include "damaskroute/http/exchange_result.h"

namespace damaskroute::internal {

/// Parses one HTTP response directly into an `ExchangeResult`. Beast's own container allocates
/// memory for each header, although only seven values are used.
class ResponseReader : public boost::beast::http::basic_parser<false> {
 public:
  explicit ResponseReader(const BackendClientOptions& options);

  /// Id of the request that this response answers; empty if it carries none.
  const std::string& request_id() const { return result_.request_id; }

  bool leaving() const { return result_.leaving; }

  const std::optional<double>& rate_limit() const { return result_.rate_limit; }

  /// Whether this is an interim response (1xx), which precedes the final one.
  bool is_interim() const { return result_.status < 200; }

  /// Keep-alive timeout announced by the server, if any.
  std::optional<std::chrono::seconds> keep_alive_timeout() const { return keep_alive_timeout_; }

  /// Moves the result out. Requires `is_done()`.
  ExchangeResult TakeResult();

 private:
  using Field = boost::beast::http::field;
  using Text = boost::beast::string_view;
  using Error = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb, Text, Text, int, Error&) override {}
  void on_response_impl(int code, Text reason, int version, Error& error) override;
  void on_field_impl(Field name, Text name_text, Text value, Error& error) override;
  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, Error& error) override;
  std::size_t on_body_impl(Text body, Error& error) override;
  void on_chunk_header_impl(std::uint64_t, Text, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t remain, Text body, Error& error) override;
  void on_finish_impl(Error&) override {}

  void ReadKeepAlive(std::string_view value);
  void Append(Text body, Error& error);

  const BackendClientOptions& options_;
  std::optional<std::chrono::seconds> keep_alive_timeout_;
  ExchangeResult result_;
  std::uint32_t seen_headers_ = 0;  // Bit set of the headers read; duplicates are ignored.
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_RESPONSE_READER_H_
