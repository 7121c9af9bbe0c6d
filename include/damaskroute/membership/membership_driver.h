#ifndef DAMASKROUTE_MEMBERSHIP_MEMBERSHIP_DRIVER_H_
#define DAMASKROUTE_MEMBERSHIP_MEMBERSHIP_DRIVER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/membership/membership_counters.h"
#include "damaskroute/membership/swim_state.h"
#include "damaskroute/peer/datagram_codec.h"
#include "damaskroute/peer/members_data.h"
#include "damaskroute/peer/members_pull.h"
#include "damaskroute/peer/peer_keys.h"
#include "damaskroute/peer/replay_window.h"

namespace damaskroute {

/// Callbacks of a `MembershipDriver`, called on the loop's thread.
struct MembershipHandlers {
  /// Sends the message to the endpoint over TCP; the reply must be passed to `OnMembersData`.
  std::function<void(const Endpoint& to, const MembersPull& pull)> send_pull;
  std::function<void(const MemberChanged&)> on_changed;
  std::function<void(const MemberForgotten&)> on_forgotten;
  std::function<void(const RevisionsSeen&)> on_revisions;
  std::function<void(const SelfSuperseded&)> on_superseded;

  /// Simulates message loss in measurements: datagrams for which it returns true are not sent. May
  /// be empty.
  std::function<bool()> drop_datagram;
  /// Simulates network partitions in tests: datagrams to and from endpoints for which it returns
  /// true are dropped. May be empty.
  std::function<bool(const Endpoint&)> is_partitioned;
};

/// Runs a `SwimState` on a UDP socket and a timer. Must be used on the loop's thread only.
class MembershipDriver {
 public:
  /// `loop` must run on a single thread and `keys` must be valid. The socket is bound to
  /// `self.endpoint`.
  MembershipDriver(asio::io_context& loop, Member self, const PeerKeys& keys, SwimOptions options,
                   std::uint64_t seed, MembershipHandlers handlers);

  MembershipDriver(const MembershipDriver&) = delete;
  MembershipDriver& operator=(const MembershipDriver&) = delete;

  /// Binds the socket. Unavailable if that fails.
  absl::Status Open();

  /// Starts probing, and joins through the seeds.
  void Start(std::vector<Endpoint> seeds);

  /// Announces to some members that this node is shutting down.
  void Leave();

  /// Reply to a pull that was received over TCP.
  MembersData OnMembersPull(const MembersPull& pull);

  void OnMembersData(const MembersData& data);
  void SetKeys(const PeerKeys& keys) { codec_ = DatagramCodec(keys); }

  /// See `SwimState::SetRevisions`.
  void SetRevisions(Revision config_revision, Revision roster_revision, TimePoint store_contact) {
    state_.SetRevisions(config_revision, roster_revision, store_contact);
  }

  const SwimState& state() const { return state_; }
  const MembershipCounters& counters() const { return counters_; }

 private:
  void Execute(const SwimActions& actions);
  void SendTo(const Endpoint& to, const PeerDatagram& datagram);
  void AwaitDatagrams();
  void ReceiveAll();
  void Receive(std::string_view bytes);
  void ArmTimer();

  SwimState state_;
  DatagramCodec codec_;
  ReplayWindow window_;
  MembershipHandlers handlers_;
  MembershipCounters counters_;
  asio::ip::udp::socket socket_;
  asio::steady_timer timer_;
  TimePoint armed_for_ = TimePoint::max();
  std::array<char, kMaxDatagramSize + 1> buffer_{};  // The extra byte detects oversized datagrams.
  // Completion handlers hold a weak pointer to it and return early once the driver is destroyed.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_MEMBERSHIP_DRIVER_H_
