#include "damaskroute/actions/action_ledger.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <set>

#include "damaskroute/actions/foreign_decision.h"

namespace damaskroute {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
using Step = ActionLedger::Step;

// One action, its issuer `i` and another entry node; counts the runs.
class Model {
 public:
  enum class Event {
    kAskIssuer,       // A caller's request reaches the issuer.
    kRefuse,          // The issuer refuses a request for load.
    kAskOther,        // A request reaches the other node, which forwards it and gets the reply.
    kLoseForward,     // The forward is lost.
    kLoseReply,       // The issuer handles the forward, its reply is lost.
    kAskPartitioned,  // The other node cannot reach the issuer.
    kRan,             // The attempt ends with an answer.
    kRanReplyLost,    // It ran, and the connection broke before the answer.
    kNotRun,          // The backend server refused the attempt.
    kLateResult,      // The result of an attempt that ended unknown arrives after all.
    kEvict,           // The issuer forgets old ids.
    kRestart,         // The issuer restarts.
    kCount,
  };

  Model() : id_(ledger_.Issue(now_)) {}

  void Apply(Event event) {
    switch (event) {
      case Event::kAskIssuer:
        return Handle(ledger_.Begin(id_, 1, now_), true);
      case Event::kRefuse:
        return Handle(ledger_.Refuse(id_, 1, now_), true);
      case Event::kAskOther:
      case Event::kLoseReply:
        if (DecideForeign(id_, "o", 9, incarnation_) == ForeignDecision::kForward) {
          return Handle(ledger_.Begin(id_, 2, now_), event == Event::kAskOther);
        }
        return Tell(Verdict::kMayHaveRun);
      case Event::kLoseForward:
        return Tell(Verdict::kMayHaveRun);
      case Event::kAskPartitioned:
        CHECK(DecideForeign(id_, "o", 9, std::nullopt) == ForeignDecision::kMayHaveRun);
        return Tell(Verdict::kMayHaveRun);
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
    if (told_not_run_ && (runs_ > 0 || open_attempt_)) return "false not_run";
    if (told_ran_ && runs_ == 0) return "false ran";
    return "";
  }

 private:
  void Run() {
    ++runs_;
    ran_ = true;
  }
  void Tell(Verdict verdict) {
    told_not_run_ = told_not_run_ || verdict == Verdict::kNotRun;
    told_ran_ = told_ran_ || verdict == Verdict::kRan;
  }
  void Handle(const ActionLedger::Decision& decision, bool reply_arrives) {
    if (decision.step == Step::kRun) {
      if (open_attempt_) ++runs_;
      open_attempt_ = true;
    } else if (decision.step == Step::kFinished && reply_arrives) {
      Tell(decision.outcome.verdict);
    } else if (decision.step == Step::kForeign) {
      CHECK(DecideForeign(id_, "i", incarnation_, std::nullopt) == ForeignDecision::kMayHaveRun);
      Tell(Verdict::kMayHaveRun);
    }
    CHECK(decision.step != Step::kInvalid);
  }
  void End(bool runs, Verdict verdict) {
    if (!open_attempt_) return;
    if (runs) Run();
    open_attempt_ = false;
    unknown_ = verdict == Verdict::kMayHaveRun;
    if (!ledger_.Finish(id_, {verdict, std::nullopt}, now_).empty()) Tell(verdict);
  }

  TimePoint now_ = kNow;
  Incarnation incarnation_ = 5;
  ActionLedger ledger_{"i", 5};
  ActionId id_;
  int runs_ = 0;
  bool ran_ = false;
  bool open_attempt_ = false;
  bool unknown_ = false;
  bool told_not_run_ = false;
  bool told_ran_ = false;
};

TEST_CASE("no sequence of faults runs an action twice or tells a false verdict") {
  constexpr int kKinds = static_cast<int>(Model::Event::kCount);
  constexpr int kLength = 5;
  int total = 1;
  for (int i = 0; i < kLength; ++i) total *= kKinds;
  int wrong = 0;
  for (int sequence = 0; sequence < total; ++sequence) {
    Model model;
    int rest = sequence;
    for (int i = 0; i < kLength && model.Violation().empty(); ++i, rest /= kKinds) {
      model.Apply(static_cast<Model::Event>(rest % kKinds));
    }
    wrong += !model.Violation().empty();
  }
  CHECK(wrong == 0);
  fmt::print("action faults: {} sequences of {} events of {} kinds\n", total, kLength, kKinds);
}

TEST_CASE("a repeat gets the recorded outcome and waits while the action runs") {
  ActionLedger ledger("n", 1);
  ActionId id = ledger.Issue(kNow);
  CHECK(ledger.Begin(id, 10, kNow).step == Step::kRun);
  CHECK(ledger.Begin(id, 11, kNow).step == Step::kWait);
  // A refusal for load must not call a running action not_run.
  CHECK(ledger.Refuse(id, 12, kNow).step == Step::kWait);
  ActionOutcome outcome{Verdict::kRan, "done"};
  CHECK(ledger.Finish(id, outcome, kNow) == std::vector<ActionLedger::Waiter>{10, 11, 12});
  CHECK(ledger.Finish(id, {Verdict::kNotRun, {}}, kNow).empty());
  CHECK(ledger.Begin(id, 13, kNow).outcome == outcome);
}

TEST_CASE("ids that were never issued are invalid, those of a predecessor are foreign") {
  ActionLedger ledger("n", 2);
  ActionId id = ledger.Issue(kNow);
  CHECK(ledger.Begin({"n", 2, id.counter + 1}, 1, kNow).step == Step::kInvalid);
  CHECK(ledger.Begin({"n", 2, 0}, 1, kNow).step == Step::kInvalid);
  CHECK(ledger.Begin({"n", 1, 1}, 1, kNow).step == Step::kForeign);
  CHECK(ledger.Begin({"m", 2, 1}, 1, kNow).step == Step::kForeign);
}

TEST_CASE("memory is bounded and what is evicted answers may_have_run") {
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

TEST_CASE("an action id has exactly one text") {
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
