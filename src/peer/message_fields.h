#ifndef DAMASKROUTE_SRC_PEER_MESSAGE_FIELDS_H_
#define DAMASKROUTE_SRC_PEER_MESSAGE_FIELDS_H_

#include <cereal/types/chrono.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "damaskroute/peer/message.h"

// Field lists for cereal, in the namespace of the types for argument-dependent lookup. The order of
// the fields is the wire format.
namespace damaskroute {

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, KeyRange& value) {
  archive(value.low, value.high);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, HeldRange& value) {
  archive(value.version, value.range);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ShardCall& value) {
  archive(value.call_id, value.attempt, value.backend, value.range);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ShardBatch& value) {
  archive(value.query_id, value.request_id, value.service, value.version, value.time_left,
          value.priority, value.fingerprint, value.body, value.calls);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ShardReply& value) {
  archive(value.query_id, value.call_id, value.attempt, value.backend, value.outcome, value.version,
          value.range, value.rows, value.boot_id, value.in_flight);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, CancelCalls& value) {
  archive(value.query_id, value.call_ids);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, BackendReport& value) {
  archive(value.holder, value.sequence, value.service, value.backend, value.boot_id, value.state,
          value.share, value.held);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ShareKey& value) {
  archive(value.backend, value.half);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ShareEpoch& value) {
  archive(value.roster, value.counter, value.node);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, WarmQuery& value) {
  archive(value.backend, value.nonce, value.cold_observation_id);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, WarmGrant& value) {
  archive(value.backend, value.nonce, value.boot_id, value.validity);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ShareRelease& value) {
  archive(value.share, value.epoch, value.from, value.to, value.config, value.roster);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ShareReleaseAck& value) {
  archive(value.share, value.epoch, value.to);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ShareClaim& value) {
  archive(value.share, value.epoch, value.from);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ShareClaimReply& value) {
  archive(value.share, value.epoch, value.from, value.to, value.claim_status, value.roster,
          value.highest);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ForwardQuery& value) {
  archive(value.query_id, value.front, value.request_id, value.time_left, value.priority,
          value.body);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ForwardReply& value) {
  archive(value.query_id, value.status, value.body);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ForwardAction& value) {
  archive(value.query_id, value.front, value.action_id, value.time_left, value.body);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ActionReply& value) {
  archive(value.query_id, value.verdict, value.status, value.body);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, RunAction& value) {
  archive(value.query_id, value.action_id, value.service, value.backend, value.time_left,
          value.fingerprint, value.body);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ActionResult& value) {
  archive(value.query_id, value.verdict, value.outcome, value.body, value.boot_id);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, CrashReport& value) {
  archive(value.fingerprint, value.is_action, value.service, value.backend, value.boot_id,
          value.after_success);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, CrashRefutation& value) {
  archive(value.service, value.backend, value.boot_id);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ConfigAnnounce& value) {
  archive(value.revision, value.hash);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ConfigPull& value) {
  archive(value.base_revision, value.base_hash);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, ConfigData& value) {
  archive(value.revision, value.hash, value.base_revision, value.document, value.deltas);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, RosterAnnounce& value) {
  archive(value.zone, value.announce);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, RosterPull& value) {
  archive(value.zone, value.pull);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, RosterData& value) {
  archive(value.zone, value.data);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, Endpoint& value) {
  archive(value.address, value.port);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, Member& value) {
  archive(value.node, value.zone, value.endpoint, value.incarnation, value.refutation, value.state);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, MembersPull& value) {
  archive(value.sender);
}

template <typename Archive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, MembersData& value) {
  archive(value.members);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_SRC_PEER_MESSAGE_FIELDS_H_
