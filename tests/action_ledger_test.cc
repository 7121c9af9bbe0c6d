#include "damaskroute/actions/action_ledger.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <set>

#include "damaskroute/actions/action_route.h"

namespace damaskroute {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
using Step = ActionLedger::Step;

// Models one action, its issuer `i` and another entry node `o`. Counts the runs.
class LedgerModel {
 public:
  enum class Event {
    kRequestIssuer,       // A caller's request reaches the issuer.
    kRefuse,              // The issuer refuses a request because of load.
    kRequestOther,        // A request reaches the other node, which forwards it and gets the reply.
    kLoseForward,         // The forwarded request is lost.
    kLoseReply,           // The issuer handles the forwarded request, but its reply is lost.
    kRequestPartitioned,  // A request reaches the other node, which cannot reach the issuer.
    kRan,                 // The attempt ends with an answer.
    kRanReplyLost,        // The action ran, and the connection broke before the answer.
    kNotRun,              // The backend server refused the attempt.
    kLateResult,          // The result of an attempt with an unknown outcome arrives late.
    kEvict,               // The issuer evicts old ids.
    kRestart,             // The issuer restarts.
    kCount,
  };

  LedgerModel() : id_(ledger_.Issue(now_)) {}

  void Apply(Event event) {
    switch (event) {
      case Event::kRequestIssuer:
        return Handle(ledger_.Begin(id_, 1, now_), true);
      case Event::kRefuse:
        return Handle(ledger_.Refuse(id_, 1, now_), true);
      case Event::kRequestOther:
      case Event::kLoseReply:
        if (RouteAction(id_, "o", 9, incarnation_) == ActionRoute::kForward) {
          return Handle(ledger_.Begin(id_, 2, now_), event == Event::kRequestOther);
        }
        return Report(Verdict::kMayHaveRun);
      case Event::kLoseForward:
        return Report(Verdict::kMayHaveRun);
      case Event::kRequestPartitioned:
        CHECK(RouteAction(id_, "o", 9, std::nullopt) == ActionRoute::kMayHaveRun);
        return Report(Verdict::kMayHaveRun);
      case Event::kRan:
        return End(true, Verdict::kRan);
      case Event::kRanReplyLost:
        return End(true, Verdict::kMayHaveRun);
      case Event::kNotRun:
        return End(false, Verdict::kNotRun);
      case Event::kLateResult:
        if (!open_attempt_ && unknown_) {
          ledger_.Finish(id_, {ran_ ? Verdict::kRan : Verdict::kNotRun, "late"}, now_);
        }
        return;
      case Event::kEvict:
        now_ += std::chrono::minutes(11);
        return ledger_.OnTimer(now_);
      case Event::kRestart:
        // The attempt on the wire may run even though its sender has ended.
        if (open_attempt_) Run();
        open_attempt_ = false;
        unknown_ = false;
        ledger_ = ActionLedger("i", ++incarnation_);
        CHECK(ledger_.Issue(now_) != id_);
        return;
      case Event::kCount:
        return;
    }
  }

  std::string Violation() const {
    if (runs_ > 1) return "ran twice";
    if (reported_not_run_ && (runs_ > 0 || open_attempt_)) return "false not_run";
    if (reported_ran_ && runs_ == 0) return "false ran";
    return "";
  }

 private:
  void Run() {
    ++runs_;
    ran_ = true;
  }
  void Report(Verdict verdict) {
    reported_not_run_ = reported_not_run_ || verdict == Verdict::kNotRun;
    reported_ran_ = reported_ran_ || verdict == Verdict::kRan;
  }
  void Handle(const ActionLedger::Decision& decision, bool reply_arrives) {
    if (decision.step == Step::kRun) {
      if (open_attempt_) ++runs_;
      open_attempt_ = true;
    } else if (decision.step == Step::kFinished && reply_arrives) {
      Report(decision.outcome.verdict);
    } else if (decision.step == Step::kForeign) {
      CHECK(RouteAction(id_, "i", incarnation_, std::nullopt) == ActionRoute::kMayHaveRun);
      Report(Verdict::kMayHaveRun);
    }
    CHECK(decision.step != Step::kInvalid);
  }
  void End(bool runs, Verdict verdict) {
    if (!open_attempt_) return;
    if (runs) Run();
    open_attempt_ = false;
    unknown_ = verdict == Verdict::kMayHaveRun;
    if (!ledger_.Finish(id_, {verdict, std::nullopt}, now_).empty()) Report(verdict);
  }

  TimePoint now_ = kNow;
  Incarnation incarnation_ = 5;
  ActionLedger ledger_{"i", 5};
  ActionId id_;
  int runs_ = 0;
  bool ran_ = false;
  bool open_attempt_ = false;
  bool unknown_ = false;
  bool reported_not_run_ = false;
  bool reported_ran_ = false;
};

TEST_CASE("no sequence of faults runs an action twice or reports a false verdict") {
  constexpr int kKinds = static_cast<int>(LedgerModel::Event::kCount);
  constexpr int kLength = 5;
  int total = 1;
  for (int i = 0; i < kLength; ++i) total *= kKinds;
  int wrong = 0;
  for (int sequence = 0; sequence < total; ++sequence) {
    LedgerModel model;
    int rest = sequence;
    for (int i = 0; i < kLength && model.Violation().empty(); ++i, rest /= kKinds) {
      model.Apply(static_cast<LedgerModel::Event>(rest % kKinds));
    }
    wrong += !model.Violation().empty();
  }
  CHECK(wrong == 0);
  fmt::print("action faults: {} sequences of {} events of {} kinds\n", total, kLength, kKinds);
}

TEST_CASE("a repeated request waits while the action runs and gets the recorded outcome") {
  ActionLedger ledger("n", 1);
  ActionId id = ledger.Issue(kNow);
  CHECK(ledger.Begin(id, 10, kNow).step == Step::kRun);
  CHECK(ledger.Begin(id, 11, kNow).step == Step::kWait);
  // A refusal because of load must not report a running action as not_run.
  CHECK(ledger.Refuse(id, 12, kNow).step == Step::kWait);
  ActionOutcome outcome{Verdict::kRan, "done"};
  CHECK(ledger.Finish(id, outcome, kNow) == std::vector<ActionLedger::Waiter>{10, 11, 12});
  CHECK(ledger.Finish(id, {Verdict::kNotRun, {}}, kNow).empty());
  CHECK(ledger.Begin(id, 13, kNow).outcome == outcome);
}

TEST_CASE("ids that were never issued are invalid, ids of an earlier process are foreign") {
  ActionLedger ledger("n", 2);
  ActionId id = ledger.Issue(kNow);
  CHECK(ledger.Begin({"n", 2, id.counter + 1}, 1, kNow).step == Step::kInvalid);
  CHECK(ledger.Begin({"n", 2, 0}, 1, kNow).step == Step::kInvalid);
  CHECK(ledger.Begin({"n", 1, 1}, 1, kNow).step == Step::kForeign);
  CHECK(ledger.Begin({"m", 2, 1}, 1, kNow).step == Step::kForeign);
}

TEST_CASE("memory is bounded and evicted ids are answered with may_have_run") {
  ActionLedger ledger("n", 1, {3, 3, std::chrono::minutes(10), 10, 2});
  std::vector<ActionId> ids;
  for (int i = 0; i < 8; ++i) {
    ids.push_back(ledger.Issue(kNow));
    ledger.Begin(ids.back(), 1, kNow);
    ledger.Finish(ids.back(), {Verdict::kRan, "answer"}, kNow);
    CHECK(ledger.finished() <= 3);
    CHECK(ledger.answer_bytes() <= 10);
  }
  CHECK(ledger.Begin(ids[0], 1, kNow).outcome == ActionOutcome{});
  CHECK(ledger.Begin(ids[6], 1, kNow).outcome == ActionOutcome{Verdict::kRan, std::nullopt});
  CHECK(ledger.Begin(ids[7], 1, kNow).outcome == ActionOutcome{Verdict::kRan, "answer"});
  ActionId unused = ledger.Issue(kNow);
  for (int i = 0; i < 3; ++i) ledger.Issue(kNow);
  CHECK(ledger.unused() == 3);
  CHECK(ledger.Begin(unused, 1, kNow).outcome.verdict == Verdict::kMayHaveRun);
}

TEST_CASE("an action id has exactly one text form") {
  ActionId id{"node-1.zone_a", 123, 7};
  CHECK(FormatActionId(id) == "7.123.node-1.zone_a");
  CHECK(ParseActionId(FormatActionId(id)).value() == id);
  for (std::string text :
       {"", ".", "7", "7.1", "7.1.", "07.1.n", "7.01.n", "0.1.n", "-7.1.n", "+7.1.n", " 7.1.n",
        "7.1.n\n", "7.1.n/", "18446744073709551616.1.n", "7.1"}) {
    CHECK_FALSE(ParseActionId(text).ok());
  }
  CHECK_FALSE(ParseActionId("7.1." + std::string(65, 'n')).ok());
}

}  // namespace
}  // namespace damaskroute
