#include "damaskroute/peer/peer_transport.h"

#include <utility>

#include "damaskroute/peer/message_codec.h"
#include "peer_loop.h"

namespace damaskroute {

PeerTransport::PeerTransport(asio::io_context& loop, PeerIdentity self, PeerKeys keys,
                             PeerHandlers handlers, PeerTransportOptions options)
    : impl_(std::make_shared<internal::PeerLoop>(loop, std::move(self), std::move(keys),
                                                 std::move(handlers), std::move(options))) {
  impl_->Start();
}

PeerTransport::~PeerTransport() { impl_->Stop(); }

absl::Status PeerTransport::Listen() { return impl_->Listen(); }

Endpoint PeerTransport::endpoint() const { return impl_->self().endpoint; }

void PeerTransport::Send(const Endpoint& to, const Message& message) {
  impl_->Send(to, EncodeMessage(message));
}

void PeerTransport::Disconnect(const Endpoint& endpoint) { impl_->Disconnect(endpoint); }

void PeerTransport::SetKeys(PeerKeys keys) { impl_->SetKeys(std::move(keys)); }

void PeerTransport::CloseExpired() { impl_->CloseExpired(); }

const PeerCounters& PeerTransport::counters() const { return impl_->counters(); }

}  // namespace damaskroute
