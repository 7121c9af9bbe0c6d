#include "http_session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace damaskroute::internal {
namespace {

using boost::system::error_code;

// Limits for discarding the unread input of a rejected request.
constexpr std::chrono::seconds kDiscardTimeout{1};
constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} << 20;

// Bytes per read of a header, and of the next request while the current one is served.
constexpr std::size_t kReadSize = 4096;
constexpr std::size_t kBodyReadSize = std::size_t{16} << 10;

// Limit of the input that is not parsed yet; the parser does not limit chunk framing and trailers.
constexpr std::size_t kMaxBufferBytes = kMaxHeaderBytes + 8192;

// Memory of a connection without its buffers: this class, the socket, and pending operations.
constexpr std::size_t kConnectionBytes = 2048;

constexpr std::chrono::seconds kOverloadRetry{1};

TimePoint Now() { return SteadyClock().Now(); }

// Memory of a response.
std::size_t ResponseBytes(const HttpResponse& response) {
  constexpr std::size_t kFieldBytes = 128;
  std::size_t bytes = response.body.capacity();
  for (const HeaderField& field : response.headers) {
    bytes += kFieldBytes + field.name.size() + field.value.size();
  }
  return bytes;
}

}  // namespace

HttpSession::HttpSession(std::shared_ptr<Shared> shared, Tcp::socket socket, std::size_t loop)
    : shared_(std::move(shared)),
      loop_index_(loop),
      connection_count_(std::in_place, shared_->connections, 1),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      buffer_(kMaxBufferBytes) {}

HttpSession::~HttpSession() {
  if (position_) shared_->waiting.Remove(*position_);
  account_.reset();
  if (shared_->options.memory->release_due()) shared_->ScheduleUpkeep();
}

bool HttpSession::HasEnded() const {
  return shared_->closed && shared_->loops[loop_index_]->stopped();
}

void HttpSession::Start() {
  if (shared_->closed) return Close();
  TimePoint now = Now();
  // Does not run at once, as it is called while another connection reads its request.
  auto evict = [weak = weak_from_this(), executor = socket_.get_executor()] {
    asio::post(executor, [weak] {
      if (auto self = weak.lock()) self->Evict();
    });
  };
  // Runs at once if the connection is on the thread of the caller, so that its descriptor is free,
  // and if the server is destroyed after its loops have ended.
  auto close = [weak = weak_from_this(), executor = socket_.get_executor()] {
    auto run = [weak] {
      if (auto self = weak.lock()) self->Close();
    };
    auto self = weak.lock();
    if (self && self->HasEnded()) return run();
    asio::dispatch(executor, run);
  };
  account_.emplace(shared_->options.memory, std::move(evict), now, shared_->options.essential);
  position_ = shared_->waiting.Add(std::move(close), now);
  if (!TryHold(OwnBytes() + kReadSize, MemoryUse::kIdle)) return Close();
  ReadNextRequest();
}

// Waits for the first byte of the next request.
void HttpSession::ReadNextRequest() {
  if (buffer_.size() > 0 && !read_pending_) {
    pipelined_ = true;
    return BeginRequest();
  }
  // A new connection may carry a request that was already sent, so it is still served.
  if (shared_->draining && !read_pending_ && request_number_ > 0) return Close();
  phase_ = Phase::kIdle;
  pipelined_ = false;
  if (!read_pending_ && buffer_.capacity() > kReadSize) buffer_.shrink_to_fit();
  SetDeadline(shared_->options.limits.idle_timeout);
  if (!read_pending_) ReadSome(kReadSize);
  Hold(OwnBytes(), MemoryUse::kIdle);
  if (shared_->options.memory->release_due()) shared_->ScheduleUpkeep();
}

// Between requests, reads the start of the next one. During a request, detects that the caller
// closes the connection.
void HttpSession::ReadSome(std::size_t size) {
  read_pending_ = true;
  socket_.async_read_some(buffer_.prepare(size),
                          [self = shared_from_this()](const error_code& error, std::size_t read) {
                            self->read_pending_ = false;
                            self->OnBytes(error, read);
                          });
}

void HttpSession::OnBytes(const error_code& error, std::size_t size) {
  if (!error) buffer_.commit(size);
  switch (phase_) {
    case Phase::kIdle:
      return error ? Close() : BeginRequest();
    case Phase::kHeader:
    case Phase::kBody:
      return error ? Close() : Parse();
    case Phase::kServing:
    case Phase::kSending:
      // Without an error: a pipelined request, which is read after the response.
      if (error) OnCallerGone();
      return;
    case Phase::kDiscarding:
      discarded_ += size;
      return error || discarded_ > kMaxDiscardedBytes ? Close() : DiscardUnreadInput();
    case Phase::kAwaitingTurn:
    case Phase::kClosed:
      return;
  }
}

void HttpSession::OnCallerGone() {
  caller_disconnected_ = true;
  if (!presence_ || presence_->disconnected) return;
  presence_->disconnected = true;
  auto notify = std::exchange(presence_->on_disconnect, nullptr);
  if (notify) notify();
}

void HttpSession::BeginRequest() {
  const HttpServerOptions& options = shared_->options;
  reader_.emplace(
      options.pass_headers, options.limits.max_header_fields,
      [this](std::size_t bytes) { return TryHold(OwnBytes() + bytes, MemoryUse::kTransfer); });
  reader_->header_limit(static_cast<std::uint32_t>(options.limits.max_header_bytes));
  reader_->body_limit(options.limits.max_body_bytes);
  reader_->eager(false);
  // A request counts from its first byte, so that a shutdown waits for a request that is still
  // being received.
  active_request_count_.emplace(shared_->active_requests, 1);
  phase_ = Phase::kHeader;
  // A client that is sending its next request has not been idle for longer than other clients.
  if (request_number_ > 0) shared_->waiting.SetWaiting(*position_, Now());
  SetDeadline(options.limits.header_timeout);
  Parse();
}

void HttpSession::Parse() {
  if (buffer_.size() > 0 && !reader_->is_done()) {
    error_code error;
    buffer_.consume(reader_->put(buffer_.data(), error));
    if (error && error != boost::beast::http::error::need_more) return RejectOnReadError(error);
  }
  if (phase_ == Phase::kHeader && reader_->is_header_done()) return OnHeader();
  if (phase_ == Phase::kBody && reader_->is_done()) return OnRequestRead();
  bool large = phase_ == Phase::kBody &&
               reader_->content_length_remaining().value_or(kBodyReadSize) > kReadSize;
  std::size_t size = large ? kBodyReadSize : kReadSize;
  if (buffer_.size() + size > kMaxBufferBytes) {
    return RejectOnReadError(boost::beast::http::error::header_limit);
  }
  ReadSome(size);
  if (!TryHold(OwnBytes() + reader_->held_bytes(), MemoryUse::kTransfer)) {
    RejectOnReadError(boost::asio::error::no_memory);
  }
}

void HttpSession::OnHeader() {
  const HttpServerOptions& options = shared_->options;
  received_at_ = Now();
  if (auto problem = reader_->HeaderProblem()) return Reject(*problem);
  if (reader_->content_length().value_or(0) > options.limits.max_body_bytes) {
    return Reject(ProblemOf(boost::beast::http::error::body_limit));
  }
  phase_ = Phase::kBody;
  reader_->eager(true);
  if (reader_->is_done()) return OnRequestRead();
  SetDeadline(options.body_timeout);
  if (reader_->expects_continue()) return SendContinue();
  Parse();
}

void HttpSession::SendContinue() {
  continue_.emplace(boost::beast::http::status::continue_, 11);
  boost::beast::http::async_write(
      socket_, *continue_, [self = shared_from_this()](const error_code& error, std::size_t) {
        self->continue_.reset();
        if (self->phase_ != Phase::kBody) return;
        if (error) return self->Close();
        self->Parse();
      });
}

void HttpSession::OnRequestRead() {
  if (!pipelined_) return DispatchRequest();
  phase_ = Phase::kAwaitingTurn;
  SetDeadline(shared_->options.limits.idle_timeout);
  auto begin = [weak = weak_from_this(), executor = socket_.get_executor()] {
    auto self = weak.lock();
    if (!self) return false;
    asio::post(executor, [self] {
      if (!self->OnTurn()) self->shared_->turns.Return();
    });
    return true;
  };
  ticket_ = shared_->turns.TakeOrWait(std::move(begin));
  if (!ticket_) OnTurn();
}

// Returns false if the turn is not needed any more.
bool HttpSession::OnTurn() {
  if (phase_ != Phase::kAwaitingTurn) return false;
  ticket_.reset();
  has_turn_ = true;
  DispatchRequest();
  return true;
}

// Without this, the queue would keep the memory of closed connections.
void HttpSession::LeaveQueue() {
  if (ticket_) shared_->turns.Cancel(*std::exchange(ticket_, std::nullopt));
}

void HttpSession::DispatchRequest() {
  if (shared_->closed) return Close();
  if (!account_->TryServe(Now())) {
    evicted_ = true;
    if (std::exchange(has_turn_, false)) shared_->turns.Return();
    return RejectOnReadError(asio::error::no_memory);
  }
  keep_alive_ = reader_->keep_alive();
  head_ = reader_->request().method == "HEAD";
  std::size_t bytes = reader_->held_bytes();
  HttpRequest request = std::move(reader_->request());
  reader_.reset();
  request.loop = loop_index_;
  request.received = received_at_;
  if (shared_->options.watch_callers) {
    presence_ = std::make_shared<CallerPresence>();
    request.presence = presence_;
    request.connection = {MeasuredRoundTrip(), /*opened_connection=*/request_number_ == 0};
  }
  std::uint64_t number = ++request_number_;
  phase_ = Phase::kServing;
  shared_->waiting.SetServing(*position_);
  SetDeadline(shared_->options.handler_timeout);
  shared_->handler(std::move(request), [self = shared_from_this(), number](HttpResponse response) {
    auto executor = self->socket_.get_executor();
    asio::post(executor, [self, number, response = std::move(response)]() mutable {
      self->Respond(number, std::move(response));
    });
  });
  if (presence_ && !read_pending_ && buffer_.size() == 0) ReadSome(kReadSize);
  Hold(OwnBytes() + bytes, MemoryUse::kServing);
}

std::chrono::microseconds HttpSession::MeasuredRoundTrip() {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::chrono::microseconds(0);  // Unknown; see `CallerConnection::round_trip`.
  }
  return std::chrono::microseconds(info.tcpi_rtt);
}

// Sends the response to the request with this number. Drops a second response.
void HttpSession::Respond(std::uint64_t number, HttpResponse response) {
  if (number != request_number_ || phase_ != Phase::kServing) return;
  ++request_number_;
  if (std::exchange(has_turn_, false)) shared_->turns.Return();
  if (presence_) presence_->on_disconnect = nullptr;
  presence_.reset();
  shared_->waiting.SetWaiting(*position_, Now());
  if (caller_disconnected_) return Close();
  keep_alive_ = keep_alive_ && !shared_->draining && !shared_->close_after_responses;
  Write(std::move(response));
}

void HttpSession::Write(HttpResponse response) {
  phase_ = Phase::kSending;
  SetDeadline(shared_->options.write_timeout);
  Hold(OwnBytes() + ResponseBytes(response), MemoryUse::kTransfer);
  response_token_ = std::move(response.token);
  response_.emplace(ToBeast(std::move(response), keep_alive_));
  if (head_) response_->body().clear();  // `Content-Length` stays.
  boost::beast::http::async_write(
      socket_, *response_, [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnWritten(error);
      });
}

void HttpSession::OnWritten(const error_code& error) {
  response_.reset();
  response_token_.reset();
  active_request_count_.reset();
  if (phase_ != Phase::kSending) return;
  if (rejected_) return DiscardUnreadInput();
  if (error || caller_disconnected_) return Close();
  if (keep_alive_) return ReadNextRequest();
  // Bytes of the next request may be in flight, and an immediate close would then reset the
  // connection before the caller has read the response.
  if (!read_pending_ && buffer_.size() == 0) return Close();
  DiscardUnreadInput();
}

// Ends the connection after a request that could not be read.
void HttpSession::RejectOnReadError(const error_code& error) {
  if (error == asio::error::no_memory || reader_->out_of_memory()) {
    return Reject(
        {503, "overloaded", "too much data of clients at once", Verdict::kNotRun, kOverloadRetry});
  }
  Reject(ProblemOf(error));
}

void HttpSession::Reject(Problem problem) {
  LeaveQueue();
  // The request line was parsed before the invalid header.
  const std::string& target = reader_->request().target;
  if (!target.empty() && shared_->options.refusal_verdict) {
    problem.verdict = shared_->options.refusal_verdict(target);
  }
  head_ = reader_->request().method == "HEAD";
  reader_.reset();
  rejected_ = true;
  keep_alive_ = false;
  ++shared_->rejected_requests;
  Write(MakeProblemResponse(problem));
}

// Closing a socket with unread input makes the kernel reset the connection, and the client may
// lose the response. Therefore reads on, limited by time and size.
void HttpSession::DiscardUnreadInput() {
  if (phase_ != Phase::kDiscarding) {
    phase_ = Phase::kDiscarding;
    error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    SetDeadline(kDiscardTimeout);
  }
  if (read_pending_) return;
  buffer_.consume(buffer_.size());
  if (buffer_.capacity() > kReadSize) buffer_.shrink_to_fit();
  ReadSome(kReadSize);
  Hold(OwnBytes(), MemoryUse::kIdle);
}

void HttpSession::Evict() {
  shared_->ScheduleUpkeep();
  if (std::exchange(evicted_, true)) return;  // The refusal is being sent.
  if (continue_) return Close();              // A response cannot be sent at the same time.
  switch (phase_) {
    case Phase::kHeader:
    case Phase::kBody:
    case Phase::kAwaitingTurn:
      return RejectOnReadError(asio::error::no_memory);
    case Phase::kServing:  // Not chosen; see `DispatchRequest`.
      return;
    case Phase::kIdle:
    case Phase::kSending:
    case Phase::kDiscarding:
      return Close();
    case Phase::kClosed:
      return;
  }
}

void HttpSession::Close() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  LeaveQueue();
  timer_.cancel();
  active_request_count_.reset();
  if (std::exchange(has_turn_, false)) shared_->turns.Return();
  reader_.reset();
  error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  connection_count_.reset();
  if (position_) shared_->waiting.Remove(*std::exchange(position_, std::nullopt));
}

void HttpSession::SetDeadline(std::chrono::milliseconds limit) {
  TimePoint now = Now();
  deadline_ = now + limit;
  if (deadline_ < timer_expiry_) ArmTimer(now);
}

void HttpSession::ArmTimer(TimePoint now) {
  timer_expiry_ = deadline_;
  timer_.expires_after(deadline_ - now);
  timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->phase_ == Phase::kClosed) return;
    self->timer_expiry_ = TimePoint::max();
    TimePoint expired = Now();
    if (expired >= self->deadline_) return self->OnDeadline();
    self->ArmTimer(expired);
  });
}

void HttpSession::OnDeadline() {
  if (phase_ != Phase::kServing) return Close();
  Respond(request_number_,
          MakeProblemResponse(
              {504, "handler_timeout", "no response was produced in time", Verdict::kMayHaveRun}));
}

std::size_t HttpSession::OwnBytes() const { return kConnectionBytes + buffer_.capacity(); }

bool HttpSession::TryHold(std::size_t bytes, MemoryUse use) {
  if (account_->TryHold(bytes, use, Now())) return true;
  shared_->ScheduleUpkeep();
  return false;
}

void HttpSession::Hold(std::size_t bytes, MemoryUse use) { account_->Hold(bytes, use, Now()); }

}  // namespace damaskroute::internal
