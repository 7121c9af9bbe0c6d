#include "outgoing_connection.h"

#include <utility>

#include "socket_options.h"

namespace damaskroute::internal {

OutgoingConnection::OutgoingConnection(std::shared_ptr<PeerLoop> owner, Endpoint to)
    : owner_(std::move(owner)),
      to_(std::move(to)),
      socket_(owner_->loop()),
      opened_(owner_->options().now()),
      last_used_(opened_),
      keys_(owner_->keys()) {}

void OutgoingConnection::Connect() {
  ++owner_->counters().connects;
  boost::system::error_code error;
  auto address = asio::ip::make_address(to_.address, error);
  if (error) {
    // Deferred to the loop, because the caller is still adding messages.
    asio::post(owner_->loop(), [self = shared_from_this()] { self->Fail(); });
    return;
  }
  socket_.async_connect({address, to_.port}, [self = shared_from_this()](auto error) {
    if (error) return self->Fail();
    SetPeerSocketOptions(self->socket_, self->owner_->options().unacknowledged_timeout);
    self->SendHello();
  });
}

void OutgoingConnection::SendHello() {
  std::string hello = EncodeHello({keys_->current.id, nonce_, owner_->self()}, keys_->current, {});
  AppendFrameLength(hello_, hello.size());
  hello_ += hello;
  asio::async_write(socket_, asio::buffer(hello_),
                    [self = shared_from_this()](auto error, std::size_t) {
                      if (error) return self->Fail();
                      self->ReadHelloLength();
                    });
}

void OutgoingConnection::ReadHelloLength() {
  hello_.resize(kFrameLengthSize);
  asio::async_read(socket_, asio::buffer(hello_),
                   [self = shared_from_this()](auto error, std::size_t) {
                     if (error) return self->Fail();
                     self->ReadHello();
                   });
}

void OutgoingConnection::ReadHello() {
  std::uint32_t size = ReadFrameLength(hello_);
  if (size > kMaxHelloSize) return Fail();
  hello_.resize(size);
  asio::async_read(
      socket_, asio::buffer(hello_), [self = shared_from_this()](auto error, std::size_t) {
        if (error || self->closed_) return self->Fail();
        auto hello = DecodeHello(self->hello_, *self->keys_, self->nonce_);
        if (!hello.ok() || hello->key_id != self->keys_->current.id) {
          ++self->owner_->counters().refused;
          return self->Fail();
        }
        self->writer_.emplace(hello->key_id,
                              SessionSecret(self->keys_->current, self->nonce_, hello->nonce));
        for (const std::string& payload : std::exchange(self->queue_, {})) {
          self->writer_->Append(self->pending_frames_, payload);
        }
        self->queue_bytes_ = 0;
        self->StartWrite();
        self->WatchForClose();
      });
}

void OutgoingConnection::WatchForClose() {
  // The peer sends nothing after its hello, so any completion means that the connection has ended.
  socket_.async_read_some(asio::buffer(unexpected_),
                          [self = shared_from_this()](auto, std::size_t) { self->Fail(); });
}

bool OutgoingConnection::Enqueue(std::string payload) {
  if (queue_bytes_ + pending_frames_.size() + writing_.size() + payload.size() >
      owner_->options().max_queue_bytes) {
    return false;
  }
  last_used_ = owner_->options().now();
  ++owner_->counters().messages_sent;
  if (writer_.has_value()) {
    writer_->Append(pending_frames_, payload);
  } else {
    queue_bytes_ += payload.size();
    queue_.push_back(std::move(payload));
  }
  return true;
}

void OutgoingConnection::StartWrite() {
  if (closed_ || !writing_.empty() || pending_frames_.empty()) return;
  std::swap(writing_, pending_frames_);
  ++owner_->counters().writes;
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](auto error, std::size_t size) {
                      if (error) return self->Fail();
                      self->owner_->counters().bytes_sent += size;
                      self->writing_.clear();
                      constexpr std::size_t kMaxRetainedCapacity = 256 << 10;
                      if (self->writing_.capacity() > kMaxRetainedCapacity) self->writing_ = {};
                      self->StartWrite();
                    });
}

void OutgoingConnection::CloseIfExpired(TimePoint now) {
  if (!writer_.has_value()) {
    if (now - opened_ >= owner_->options().connect_timeout) Fail();
  } else if (writing_.empty() && now - last_used_ >= owner_->options().idle_timeout) {
    CloseGracefully();
  }
}

void OutgoingConnection::CloseGracefully() {
  writer_->Append(writing_, {});
  auto self = shared_from_this();
  closed_ = true;
  owner_->OnOutgoingClosed(to_, this, /*lost=*/false);
  asio::async_write(socket_, asio::buffer(writing_), [self](auto, std::size_t) {
    boost::system::error_code ignored;
    self->socket_.close(ignored);
  });
}

void OutgoingConnection::Fail() {
  if (closed_) return;
  Close();
  owner_->OnOutgoingClosed(to_, this, /*lost=*/true);
}

void OutgoingConnection::Close() {
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace damaskroute::internal
