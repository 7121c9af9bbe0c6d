#ifndef DAMASKROUTE_PEER_MESSAGE_H_
#define DAMASKROUTE_PEER_MESSAGE_H_

#include <variant>

#include "damaskroute/peer/action_reply.h"
#include "damaskroute/peer/action_result.h"
#include "damaskroute/peer/backend_report.h"
#include "damaskroute/peer/cancel_calls.h"
#include "damaskroute/peer/config_announce.h"
#include "damaskroute/peer/config_data.h"
#include "damaskroute/peer/config_pull.h"
#include "damaskroute/peer/crash_refutation.h"
#include "damaskroute/peer/crash_report.h"
#include "damaskroute/peer/forward_action.h"
#include "damaskroute/peer/forward_query.h"
#include "damaskroute/peer/forward_reply.h"
#include "damaskroute/peer/members_data.h"
#include "damaskroute/peer/members_pull.h"
#include "damaskroute/peer/roster_announce.h"
#include "damaskroute/peer/roster_data.h"
#include "damaskroute/peer/roster_pull.h"
#include "damaskroute/peer/run_action.h"
#include "damaskroute/peer/shard_batch.h"
#include "damaskroute/peer/shard_reply.h"
#include "damaskroute/shares/share_message.h"
#include "damaskroute/shares/warm_grant.h"

namespace damaskroute {

/// Message between two nodes. The position of a type in the list is its number on the wire, so new
/// types must be appended.
using Message =
    std::variant<ShardBatch, ShardReply, CancelCalls, BackendReport, WarmGrant, ShareRelease,
                 ForwardQuery, ForwardReply, ForwardAction, ActionReply, RunAction, ActionResult,
                 CrashReport, ConfigAnnounce, ConfigPull, ConfigData, RosterAnnounce, RosterPull,
                 RosterData, MembersPull, MembersData, ShareReleaseAck, ShareClaim, ShareClaimReply,
                 WarmQuery, CrashRefutation>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_MESSAGE_H_
