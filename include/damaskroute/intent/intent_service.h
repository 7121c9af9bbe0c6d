#ifndef DAMASKROUTE_INTENT_INTENT_SERVICE_H_
#define DAMASKROUTE_INTENT_INTENT_SERVICE_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "absl/status/statusor.h"
#include "damaskroute/core/backoff.h"
#include "damaskroute/intent/config_log.h"
#include "damaskroute/intent/intent_replies.h"
#include "damaskroute/intent/plan_cache.h"
#include "damaskroute/intent/plan_request.h"
#include "damaskroute/intent/planner.h"
#include "fmt/format.h"

namespace damaskroute {

/// Callbacks from `IntentService` to the node. `current` is required and must be thread-safe; the
/// others may be empty and are called on the thread that plans and commits.
struct IntentHooks {
  /// Configuration in force on this node, never null.
  std::function<std::shared_ptr<const ConfigDocument>()> current;
  /// Measured load, for the planner.
  std::function<BusySlots()> busy_slots;
  /// Called after a commit, so that the node installs and announces it without delay.
  std::function<void(const ConfigDocument&)> on_committed;
  /// Waits after the n-th failure of the store during a commit; by default 50 ms, doubled after
  /// each failure up to 1 s.
  std::function<void(int)> pause;
  /// Wall-clock time recorded in the history; by default the system clock.
  std::function<std::chrono::system_clock::time_point()> wall_time;
};

/// Plans and commits changes for the operators' interface. Blocks on the store. Only `Config` may
/// be called concurrently with another function: `IntentServer` calls the others from one thread.
template <typename Store>
class IntentService {
 public:
  /// `store` must outlive the service.
  IntentService(Store* store, Planner planner, IntentHooks hooks)
      : store_(store), planner_(planner), hooks_(std::move(hooks)) {
    if (!hooks_.pause) {
      hooks_.pause = [](int failures) {
        std::this_thread::sleep_for(ExponentialBackoff(std::chrono::milliseconds(50), failures - 1,
                                                       std::chrono::milliseconds(1000)));
      };
    }
    if (!hooks_.wall_time) hooks_.wall_time = [] { return std::chrono::system_clock::now(); };
  }

  /// `POST /v1/plans`. `body` is YAML if `is_yaml`, else JSON.
  HttpResponse MakePlan(const std::string& body, bool is_yaml) {
    absl::StatusOr<PlanRequest> request =
        is_yaml ? absl::StatusOr<PlanRequest>(
                      PlanRequest(std::vector<DeclarationFile>{{"declaration", body}}))
                : ParsePlanRequest(body);
    if (!request.ok()) return StatusReply(request.status());
    absl::StatusOr<VersionedHead> head = ReadCurrentHead();
    if (!head.ok()) return StatusReply(head.status());
    absl::StatusOr<Plan> plan = BuildPlan(*request, head->head);
    if (!plan.ok()) return StatusReply(plan.status());
    return {200, "application/json", PlanJson(*plan)};
  }

  /// `POST /v1/plans/ID/confirm`.
  HttpResponse Confirm(const std::string& plan_id, const std::string& body) {
    absl::StatusOr<ConfirmRequest> confirm = ParseConfirmRequest(body);
    if (!confirm.ok()) return StatusReply(confirm.status());
    absl::StatusOr<VersionedHead> head = ReadCurrentHead();
    if (!head.ok()) return StatusReply(head.status());
    // A repeated confirmation, possibly through another node, gets the same response.
    for (const HeadEntry& entry : head->head.entries) {
      if (entry.change_id == plan_id) {
        return CommitReply({CommitResult::kCommitted, entry.revision, ""}, plan_id);
      }
    }
    if (plans_.Find(plan_id) == nullptr && confirm->has_request) {
      absl::StatusOr<Plan> plan = BuildPlan(confirm->request, head->head);
      if (!plan.ok()) return StatusReply(plan.status());
      // The same request gives a different id if the base revision or an earlier one has changed.
      if (plan->id != plan_id) return StalePlanReply(head->head, head->head.revision());
    }
    const CachedPlan* plan = plans_.Find(plan_id);
    if (plan == nullptr) return UnknownPlanReply(plan_id);
    if (plan->base_revision != head->head.revision()) {
      return StalePlanReply(head->head, plan->base_revision);
    }
    if (!plan->has_changes) return UnchangedReply(plan->base_revision, plan_id);
    if (plan->needs_override && !confirm->override_warnings) return OverrideReply(*plan);
    return Commit(*plan);
  }

  /// `GET /v1/history`.
  HttpResponse History() {
    absl::StatusOr<VersionedHead> head = ReadHead(*store_);
    return head.ok() ? HistoryReply(head->head) : StatusReply(head.status());
  }

  /// `GET /v1/config`: the configuration in force on this node; works without the store.
  HttpResponse Config() { return ConfigReply(*hooks_.current()); }

 private:
  // The head in the store. Unavailable if the store was restored to an older state: no node
  // installs a revision below the one in force, so a commit would have no effect.
  absl::StatusOr<VersionedHead> ReadCurrentHead() {
    absl::StatusOr<VersionedHead> head = ReadHead(*store_);
    if (!head.ok()) return head;
    Revision in_force = hooks_.current()->revision;
    if (head->head.revision() < in_force) {
      return absl::UnavailableError(fmt::format(
          "the store holds revision {}, older than revision {} in force; restore a newer state",
          head->head.revision(), in_force));
    }
    return head;
  }

  // The document in force. Avoids reading the chunks if this node has the same revision.
  absl::StatusOr<ConfigDocument> ReadBase(const ConfigHead& head) {
    if (head.entries.empty()) return ConfigDocument{};
    const HeadEntry& latest = head.entries.back();
    std::shared_ptr<const ConfigDocument> local = hooks_.current();
    if (local->revision == latest.revision && local->change_id == latest.change_id) return *local;
    return ReadDocument(*store_, latest);
  }

  // The document of `revision`. NotFound if the history does not contain it.
  absl::StatusOr<ConfigDocument> ReadEarlierRevision(const ConfigHead& head, Revision revision) {
    const HeadEntry* entry = head.Find(revision);
    if (entry == nullptr) {
      return absl::NotFoundError("the history does not hold revision " + std::to_string(revision));
    }
    return ReadDocument(*store_, *entry);
  }

  // The document that `request` describes.
  absl::StatusOr<ConfigDocument> ResolveRequest(const PlanRequest& request,
                                                const ConfigDocument& base,
                                                const ConfigHead& head) {
    if (const auto* files = std::get_if<std::vector<DeclarationFile>>(&request)) {
      return ParseDeclaration(*files);
    }
    if (const auto* zone = std::get_if<ZoneRequest>(&request)) {
      return WithZoneState(base, zone->zone, zone->state);
    }
    if (const auto* backend = std::get_if<BackendRequest>(&request)) {
      return WithBackendIntent(base, backend->backend, backend->intent);
    }
    return ReadEarlierRevision(head, std::get<RollbackRequest>(request).revision);
  }

  absl::StatusOr<Plan> BuildPlan(const PlanRequest& request, const ConfigHead& head) {
    absl::StatusOr<ConfigDocument> base = ReadBase(head);
    if (!base.ok()) return base.status();
    absl::StatusOr<ConfigDocument> declared = ResolveRequest(request, *base, head);
    if (!declared.ok()) return declared.status();
    absl::StatusOr<Plan> plan = planner_.MakePlan(
        *base, *std::move(declared), hooks_.busy_slots ? hooks_.busy_slots() : BusySlots{});
    if (!plan.ok()) return plan.status();
    absl::StatusOr<std::string> bytes = EncodeConfig(plan->document);
    if (!bytes.ok()) return bytes.status();
    plans_.Add({plan->id, plan->base_revision, !plan->differences.empty(), plan->needs_override,
                PlanSummary(*plan), plan->warnings, *std::move(bytes)});
    return plan;
  }

  HttpResponse Commit(const CachedPlan& plan) {
    CommitRequest request{plan.base_revision, plan.id, plan.summary, hooks_.wall_time(),
                          SplitChunks(plan.bytes)};
    CommitOutcome outcome = RunCommit(*store_, CommitResolver(std::move(request)), hooks_.pause);
    if (outcome.result == CommitResult::kConflict) {
      absl::StatusOr<VersionedHead> head = ReadHead(*store_);
      if (head.ok()) return StalePlanReply(head->head, plan.base_revision);
    }
    if (outcome.result == CommitResult::kCommitted && hooks_.on_committed) {
      absl::StatusOr<ConfigDocument> document = DecodeConfig(plan.bytes);
      if (document.ok()) {
        document->revision = outcome.revision;
        document->change_id = plan.id;
        hooks_.on_committed(*document);
      }
    }
    return CommitReply(outcome, plan.id);
  }

  Store* store_;
  Planner planner_;
  IntentHooks hooks_;
  PlanCache plans_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_INTENT_SERVICE_H_
