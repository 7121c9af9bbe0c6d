#ifndef DAMASKROUTE_SRC_HTTP_REQUEST_READER_H_
#define DAMASKROUTE_SRC_HTTP_REQUEST_READER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "damaskroute/http/http_request.h"
#include "damaskroute/http/problem.h"

namespace damaskroute::internal {

/// Parses one HTTP request directly into an `HttpRequest`, so that its header exists once, and
/// states what it holds in memory.
class RequestReader : public boost::beast::http::basic_parser<true> {
 public:
  /// Whether the request may hold this many bytes.
  using MayHold = std::function<bool(std::size_t bytes)>;

  /// `keep_fields` sets whether `HttpRequest::headers` is filled. `may_hold` is called before the
  /// request grows; if it returns false, parsing fails and `out_of_memory()` is set.
  RequestReader(bool keep_fields, std::size_t max_fields, MayHold may_hold)
      : keep_fields_(keep_fields), max_fields_(max_fields), may_hold_(std::move(may_hold)) {}

  /// The request, as far as it was read.
  HttpRequest& request() { return request_; }

  /// The problem with the header, or nullopt if it is acceptable. Requires `is_header_done()`.
  std::optional<Problem> HeaderProblem() const;

  bool expects_continue() const { return expects_continue_; }
  bool out_of_memory() const { return out_of_memory_; }

  /// Memory that the request holds.
  std::size_t held_bytes() const { return field_bytes_ + request_.body.capacity(); }

 private:
  using Field = boost::beast::http::field;
  using Text = boost::beast::string_view;
  using Error = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb, Text method, Text target, int version,
                       Error& error) override;
  void on_response_impl(int, Text, int, Error&) override {}
  void on_field_impl(Field field, Text name, Text value, Error& error) override;
  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override {}
  std::size_t on_body_impl(Text body, Error& error) override;
  void on_chunk_header_impl(std::uint64_t, Text, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t remain, Text body, Error& error) override;
  void on_finish_impl(Error&) override {}

  bool Reserve(std::size_t bytes, Error& error);
  void Append(Text body, Error& error);

  const bool keep_fields_;
  const std::size_t max_fields_;
  const MayHold may_hold_;
  HttpRequest request_;
  int version_ = 11;  // As in Beast: 11 is HTTP/1.1.
  std::size_t fields_ = 0;
  std::size_t field_bytes_ = 0;
  std::uint32_t seen_headers_ = 0;  // Bit set of the headers that must not be repeated.
  const char* repeated_ = nullptr;  // The first of them that was.
  bool has_transfer_encoding_ = false;
  bool expects_continue_ = false;
  bool out_of_memory_ = false;
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_REQUEST_READER_H_
