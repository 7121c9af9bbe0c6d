#ifndef DAMASKROUTE_SRC_HTTP_RESPONSE_READER_H_
#define DAMASKROUTE_SRC_HTTP_RESPONSE_READER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>

#include "damaskroute/http/exchange_result.h"

namespace damaskroute::internal {

/// Parses one HTTP response straight into an `ExchangeResult`. Beast's own container copies each
/// header into an allocation of its own, although only seven values are used.
class ResponseReader : public boost::beast::http::basic_parser<false> {
 public:
  ResponseReader();

  /// The result, once `is_done()`.
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

  ExchangeResult result_;
  std::uint32_t seen_ = 0;  // Bit set of the headers read; only the first of each counts.
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_RESPONSE_READER_H_
