#ifndef DAMASKROUTE_SRC_HTTP_HTTP_SESSION_H_
#define DAMASKROUTE_SRC_HTTP_HTTP_SESSION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "damaskroute/core/time.h"
#include "http_messages.h"
#include "http_server_shared.h"
#include "request_reader.h"

namespace damaskroute::internal {

/// Upper bound for `ClientLimits::max_header_bytes`; bounds the buffer of a connection.
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{64} << 10;

/// One connection. Reads a request, passes it to the handler, writes the response and repeats. The
/// next request is read after the response was written. Kept alive by its pending asynchronous
/// operations. All functions run on the connection's loop.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  using Shared = HttpServer::Shared;
  using Tcp = asio::ip::tcp;

  HttpSession(std::shared_ptr<Shared> shared, Tcp::socket socket, std::size_t loop);
  ~HttpSession();

  /// Reads the first request. Closes the connection if there is no memory for it.
  void Start();

 private:
  enum class Phase : std::uint8_t {
    kIdle,          // Between two requests.
    kHeader,        // A header is received.
    kBody,          // A body is received.
    kAwaitingTurn,  // A pipelined request waits for `PipelineTurns`.
    kServing,       // The handler has the request.
    kSending,       // A response is sent.
    kDiscarding,    // Input is discarded after the last response.
    kClosed,
  };

  // Whether the server was destroyed after the loop had ended.
  bool HasEnded() const;

  void ReadNextRequest();
  void ReadSome(std::size_t size);
  void OnBytes(const boost::system::error_code& error, std::size_t size);
  void OnCallerGone();
  void BeginRequest();
  void Parse();
  void OnHeader();
  void SendContinue();
  void ReadBody();
  void OnRequestRead();
  bool OnTurn();
  void LeaveQueue();
  void DispatchRequest();
  std::chrono::microseconds MeasuredRoundTrip();
  void Respond(std::uint64_t number, HttpResponse response);
  void Write(HttpResponse response);
  void OnWritten(const boost::system::error_code& error);
  void RejectOnReadError(const boost::system::error_code& error);
  void Reject(Problem problem);
  void DiscardUnreadInput();
  void Close();

  // Reacts to the lack of memory for this connection.
  void Evict();

  // The time limit of the current phase. The timer is only rearmed for an earlier limit, as most
  // limits end before they expire.
  void SetDeadline(std::chrono::milliseconds limit);
  void ArmTimer(TimePoint now);
  void OnDeadline();

  // What the connection holds beside the request that it reads or the response that it sends.
  std::size_t OwnBytes() const;
  bool TryHold(std::size_t bytes, MemoryUse use);
  void Hold(std::size_t bytes, MemoryUse use);

  std::shared_ptr<Shared> shared_;
  std::size_t loop_index_;
  std::optional<ScopedCount> connection_count_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  TimePoint deadline_;
  TimePoint timer_expiry_ = TimePoint::max();
  boost::beast::flat_buffer buffer_;
  std::optional<ClientMemory::Account> account_;
  std::optional<WaitingConnections::Position> position_;
  std::optional<PipelineTurns::Ticket> ticket_;  // While it waits for a turn.
  std::optional<RequestReader> reader_;
  std::optional<boost::beast::http::response<boost::beast::http::empty_body>> continue_;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>> response_;
  std::shared_ptr<void> response_token_;
  std::optional<ScopedCount> active_request_count_;  // While a request is received or served.
  TimePoint received_at_;
  std::uint64_t request_number_ = 0;
  std::shared_ptr<CallerPresence> presence_;
  Phase phase_ = Phase::kIdle;
  bool read_pending_ = false;         // `buffer_` must not change.
  bool pipelined_ = false;            // The request arrived before the last response was sent.
  bool has_turn_ = false;             // Holds one of `PipelineTurns`.
  bool caller_disconnected_ = false;  // The caller closed during its request.
  bool keep_alive_ = false;
  bool head_ = false;  // The response has no body; see the method HEAD of HTTP.
  bool rejected_ = false;
  bool evicted_ = false;  // Has reacted to being chosen by `ClientMemory`.
  std::size_t discarded_ = 0;
};

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_HTTP_HTTP_SESSION_H_
