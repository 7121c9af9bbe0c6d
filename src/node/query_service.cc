#include "damaskroute/node/query_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "damaskroute/api/forwarded_answer.h"
#include "damaskroute/api/query_answer.h"
#include "damaskroute/core/hash.h"
#include "damaskroute/http/problem.h"
#include "damaskroute/log/log_line.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterNotReady{1000};
constexpr milliseconds kRetryAfterLostPeer{100};
constexpr milliseconds kRetryAfterCanary{100};

// A forwarded query is sent to at most this many coordinators in turn, because a peer may be lost
// without notice.
constexpr std::size_t kMaxForwardTargets = 2;

TimePoint Now() { return SteadyClock().Now(); }

std::uint64_t Fingerprint(const FrontName& front, const std::string& body) {
  return Hash64(body, Hash64(front));
}

HttpResponse UnknownFront(const FrontName& front, const std::string& request_id) {
  Problem problem;
  problem.status = 404;
  problem.type = "unknown_front";
  problem.detail = fmt::format("no search front is named \"{}\"", front.substr(0, 64));
  problem.request_id = request_id;
  return MakeProblemResponse(problem);
}

HttpResponse NotReady(const std::string& request_id) {
  Problem problem;
  problem.status = 503;
  problem.type = "not_ready";
  problem.detail = "this node knows no coordinator of the service yet";
  problem.retry_after = kRetryAfterNotReady;
  problem.request_id = request_id;
  return MakeProblemResponse(problem);
}

HttpResponse RefusedByCrashGuard(CrashMode mode, const std::string& request_id) {
  Problem problem;
  problem.request_id = request_id;
  if (mode == CrashMode::kBlocked) {
    problem.status = 422;
    problem.type = "blocked_request";
    problem.detail = "backend servers lost their connections while they ran this request";
  } else {
    problem.status = 503;
    problem.type = "request_under_test";
    problem.detail = "the same request runs on one backend server first after a crash";
    problem.retry_after = kRetryAfterCanary;
  }
  return MakeProblemResponse(problem);
}

HttpResponse Overloaded(const ServiceRuntime& service, const std::string& request_id) {
  Problem problem;
  problem.status = 503;
  problem.type = "overloaded";
  problem.detail = "too many queries of this service are in progress";
  problem.retry_after = std::max(
      std::chrono::duration_cast<milliseconds>(service.admission.RetryAfter()), milliseconds(1));
  problem.request_id = request_id;
  return MakeProblemResponse(problem);
}

}  // namespace

struct QueryService::ForwardedQuery {
  explicit ForwardedQuery(asio::io_context& context) : timer(context) {}

  FrontName front;
  QueryRequest request;
  TimePoint deadline;
  Respond respond;
  std::vector<Endpoint> targets;  // The last one is in use.
  asio::steady_timer timer;
};

QueryService::QueryService(EventLoop& loop, QueryCoordinator& coordinator, Context context)
    : loop_(loop), coordinator_(coordinator), context_(std::move(context)) {}

QueryService::~QueryService() = default;

void QueryService::Handle(const FrontName& front, QueryRequest request, TimePoint received,
                          Respond respond) {
  auto view = context_.view->Load();
  if (request.request_id.empty()) {
    request.request_id = fmt::format("{}-{:x}", context_.node, context_.ids->Next(0));
  }
  const SearchFront* declared = view->config.FindFront(front);
  if (declared == nullptr) {
    respond(view->config.revision == 0 ? NotReady(request.request_id)
                                       : UnknownFront(front, request.request_id));
    return;
  }
  TimePoint deadline = received + request.deadline.value_or(declared->default_deadline);
  if (view->placement.IsCoordinator(context_.node, declared->service)) {
    Coordinate(*view, front, std::move(request), deadline, std::move(respond));
    return;
  }
  if (!Forward(*view, front, request, deadline, respond)) respond(NotReady(request.request_id));
}

void QueryService::Coordinate(const NodeView& view, const FrontName& front, QueryRequest request,
                              TimePoint deadline, Respond respond) {
  const SearchFront* declared = view.config.FindFront(front);
  auto service = declared == nullptr ? nullptr : view.FindService(declared->service);
  if (!service) {
    respond(UnknownFront(front, request.request_id));
    return;
  }
  std::uint64_t fingerprint = Fingerprint(front, request.query);
  CrashMode mode = context_.crash_guard->Check(service->name, fingerprint, Now());
  auto metrics = view.fronts.at(front);
  if (mode == CrashMode::kBlocked || mode == CrashMode::kWait) {
    metrics->OnRefused();
    respond(RefusedByCrashGuard(mode, request.request_id));
    return;
  }
  if (!service->admission.TryAdmit(request.priority)) {
    if (mode == CrashMode::kCanary) context_.crash_guard->OnEnd(service->name, fingerprint, Now());
    metrics->OnRefused();
    respond(Overloaded(*service, request.request_id));
    return;
  }
  QuerySpec spec;
  spec.query_id = context_.ids->Next(context_.loop_index);
  spec.request_id = request.request_id;
  spec.service = declared->service;
  spec.priority = request.priority;
  spec.deadline = deadline;
  spec.fingerprint = fingerprint;
  spec.canary = mode == CrashMode::kCanary;
  spec.known_good = context_.crash_guard->HasSucceeded(service->name, fingerprint);
  spec.body = std::move(request.query);
  auto done = [respond = std::move(respond), request_id = request.request_id, service, metrics,
               guard = context_.crash_guard, fingerprint, started = Now(),
               objective = declared->objective.latency](const QueryResult& result) {
    TimePoint now = Now();
    if (result.verdict == Verdict::kRan) {
      guard->OnSuccess(service->name, fingerprint, now);
      service->admission.OnEnd(now - started, now);
    } else {
      guard->OnEnd(service->name, fingerprint, now);
      service->admission.OnRefused();
    }
    metrics->OnQuery(result, now - started, objective);
    respond(MakeQueryAnswer(result, request_id));
  };
  coordinator_.Start(std::move(spec), service, std::move(done));
}

std::vector<const RosterEntry*> QueryService::ForwardTargets(const NodeView& view,
                                                             const ServiceName& service) {
  std::vector<const RosterEntry*> local;
  std::vector<const RosterEntry*> remote;
  for (const NodeName& node : view.placement.CoordinatorsOf(service)) {
    const RosterEntry* entry = view.roster.Find(node);
    if (entry == nullptr || node == context_.node) continue;
    (entry->zone == context_.zone ? local : remote).push_back(entry);
  }
  auto shuffle = [&](std::vector<const RosterEntry*>& node_entries) {
    for (std::size_t i = node_entries.size(); i > 1; --i) {
      std::swap(node_entries[i - 1], node_entries[loop_.random().Below(i)]);
    }
  };
  shuffle(local);
  shuffle(remote);
  local.insert(local.end(), remote.begin(), remote.end());
  if (local.size() > kMaxForwardTargets) local.resize(kMaxForwardTargets);
  return local;
}

bool QueryService::Forward(const NodeView& view, const FrontName& front,
                           const QueryRequest& request, TimePoint deadline, Respond respond) {
  auto node_entries = ForwardTargets(view, view.config.FindFront(front)->service);
  if (node_entries.empty()) return false;
  auto forwarded = std::make_unique<ForwardedQuery>(loop_.context());
  forwarded->front = front;
  forwarded->request = request;
  forwarded->deadline = deadline;
  forwarded->respond = std::move(respond);
  for (auto it = node_entries.rbegin(); it != node_entries.rend(); ++it) {
    forwarded->targets.push_back((*it)->peer);
  }
  std::uint64_t id = context_.ids->Next(context_.loop_index);
  forwarded->timer.expires_at(deadline);
  forwarded->timer.async_wait([this, id](const boost::system::error_code& error) {
    if (error) return;
    QueryResult late;
    late.verdict = Verdict::kMayHaveRun;
    late.version = 1;
    auto it = forwarded_.find(id);
    if (it != forwarded_.end()) {
      CompleteForward(id, MakeQueryAnswer(late, it->second->request.request_id));
    }
  });
  forwarded_.emplace(id, std::move(forwarded));
  SendForward(id);
  return true;
}

void QueryService::SendForward(std::uint64_t id) {
  ForwardedQuery& forwarded = *forwarded_.at(id);
  ForwardQuery message;
  message.query_id = id;
  message.front = forwarded.front;
  message.request_id = forwarded.request.request_id;
  message.time_left = std::max(std::chrono::duration_cast<microseconds>(forwarded.deadline - Now()),
                               microseconds(0));
  message.priority = forwarded.request.priority;
  message.body = forwarded.request.query;
  context_.send(forwarded.targets.back(), std::move(message));
}

void QueryService::CompleteForward(std::uint64_t id, HttpResponse response) {
  auto it = forwarded_.find(id);
  if (it == forwarded_.end()) return;
  Respond respond = std::move(it->second->respond);
  forwarded_.erase(it);
  respond(std::move(response));
}

void QueryService::OnForwardQuery(const Endpoint& from, const ForwardQuery& message) {
  auto view = context_.view->Load();
  QueryRequest request;
  request.query = message.body;
  request.priority = message.priority;
  request.request_id = message.request_id;
  Coordinate(*view, message.front, std::move(request), Now() + message.time_left,
             [this, from, id = message.query_id](HttpResponse response) {
               ForwardReply reply;
               reply.query_id = id;
               reply.status = response.status;
               reply.body = std::move(response.body);
               context_.send(from, std::move(reply));
             });
}

void QueryService::OnForwardReply(const ForwardReply& message) {
  CompleteForward(message.query_id, MakeForwardedAnswer(message.status, message.body));
}

void QueryService::OnPeerLost(const Endpoint& peer) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, forwarded] : forwarded_) {
    if (forwarded->targets.back() == peer) lost.push_back(id);
  }
  for (std::uint64_t id : lost) {
    ForwardedQuery& forwarded = *forwarded_.at(id);
    forwarded.targets.pop_back();
    if (!forwarded.targets.empty()) {
      SendForward(id);  // A query is idempotent, so a second run does no harm.
      continue;
    }
    Problem problem;
    problem.status = 503;
    problem.type = "peer_lost";
    problem.detail = "the coordinator of the service was lost";
    problem.verdict = Verdict::kMayHaveRun;
    problem.retry_after = kRetryAfterLostPeer;
    problem.request_id = forwarded.request.request_id;
    CompleteForward(id, MakeProblemResponse(problem));
  }
}

}  // namespace damaskroute
