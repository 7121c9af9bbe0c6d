#include "accepted_connection.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "socket_options.h"

namespace damaskroute::internal {
namespace {

// Initial size of the receive buffer in bytes.
constexpr std::size_t kInitialBufferSize = 8 << 10;

// A larger receive buffer is freed once it is empty. In bytes.
constexpr std::size_t kMaxRetainedBufferSize = 256 << 10;

}  // namespace

AcceptedConnection::AcceptedConnection(std::shared_ptr<PeerLoop> owner,
                                       asio::ip::tcp::socket socket)
    : owner_(std::move(owner)),
      socket_(std::move(socket)),
      opened_(owner_->options().now()),
      last_used_(opened_) {}

void AcceptedConnection::Start() {
  SetPeerSocketOptions(socket_, owner_->options().unacknowledged_timeout);
  ReadSome();
}

void AcceptedConnection::ReadSome() {
  if (begin_ == end_) {
    begin_ = end_ = 0;
    if (buffer_.size() > kMaxRetainedBufferSize) buffer_ = {};
  } else if (begin_ > 0) {
    std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
    end_ -= std::exchange(begin_, 0);
  }
  // The buffer grows with the bytes received, independent of the length that a frame claims.
  if (end_ == buffer_.size()) buffer_.resize(std::max(kInitialBufferSize, 2 * buffer_.size()));
  socket_.async_read_some(asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
                          [self = shared_from_this()](auto error, std::size_t size) {
                            if (error) return self->Close(/*lost=*/true);
                            self->end_ += size;
                            self->owner_->counters().bytes_received += size;
                            if (self->ReadFrames() && !self->closed_) self->ReadSome();
                          });
}

bool AcceptedConnection::ReadFrames() {
  while (!closed_) {
    std::string_view received(buffer_.data() + begin_, end_ - begin_);
    if (received.size() < kFrameLengthSize) return true;
    std::size_t size = ReadFrameLength(received);
    if (size > (reader_.has_value() ? kMaxFrameSize : kMaxHelloSize)) {
      ++owner_->counters().malformed;
      Close(/*lost=*/true);
      return false;
    }
    if (received.size() < kFrameLengthSize + size) return true;
    std::string_view frame = received.substr(kFrameLengthSize, size);
    begin_ += kFrameLengthSize + size;
    if (!(reader_.has_value() ? ReadMessage(frame) : ReadHello(frame))) {
      Close(/*lost=*/true);
      return false;
    }
  }
  return false;
}

bool AcceptedConnection::ReadHello(std::string_view frame) {
  std::shared_ptr<const PeerKeys> keys = owner_->keys();
  auto hello = DecodeHello(frame, *keys, {});
  if (!hello.ok()) {
    ++owner_->counters().refused;
    return false;
  }
  const PeerKey& key = *keys->Find(hello->key_id);
  peer_ = hello->sender;
  std::string nonce = RandomBytes(kNonceSize);
  reader_.emplace(key.id, SessionSecret(key, hello->nonce, nonce));
  std::string reply = EncodeHello({key.id, nonce, owner_->self()}, key, hello->nonce);
  AppendFrameLength(hello_, reply.size());
  hello_ += reply;
  asio::async_write(socket_, asio::buffer(hello_),
                    [self = shared_from_this()](auto error, std::size_t) {
                      if (error) self->Close(/*lost=*/true);
                      self->hello_ = {};
                    });
  return true;
}

bool AcceptedConnection::ReadMessage(std::string_view frame) {
  std::string_view payload;
  if (!reader_->Read(frame, payload)) {
    ++owner_->counters().malformed;
    return false;
  }
  authenticated_ = true;
  last_used_ = owner_->options().now();
  if (payload.empty()) {
    Close(/*lost=*/false);
    return true;
  }
  absl::StatusOr<Message> message = DecodeMessage(payload);
  if (!message.ok()) {
    ++owner_->counters().malformed;
    return false;
  }
  owner_->OnMessage(peer_, *std::move(message));
  return true;
}

void AcceptedConnection::CloseIfExpired(TimePoint now) {
  // The connecting side closes idle connections; twice its timeout means that the peer is gone.
  if (authenticated_ ? now - last_used_ >= 2 * owner_->options().idle_timeout
                     : now - opened_ >= owner_->options().connect_timeout) {
    Close(/*lost=*/true);
  }
}

void AcceptedConnection::Close(bool lost) {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  owner_->OnAcceptedClosed(shared_from_this(), lost && authenticated_);
}

}  // namespace damaskroute::internal
