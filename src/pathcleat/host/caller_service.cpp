// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/caller_service.hpp"

#include <QUrl>
#include <QUrlQuery>
#include <sstream>
#include <utility>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/host/locate.hpp"
#include "pathcleat/host/route_match.hpp"
#include "pathcleat/net/http_status.hpp"

namespace pathcleat {
namespace {

constexpr std::string_view kLocatePath = "/v1/locate";
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kIdHeader = "Pathcleat-Request-Id";
constexpr const char* kOutcomeHeader = "Pathcleat-Outcome";
constexpr std::size_t kLongestKey = 128;
constexpr int kMostAttempts = 3;

// A caller's /24 block: callers of one household or club share caches.
double CallerHash(const std::string& caller) {
  return UnitHash(std::string_view(caller).substr(0, caller.rfind('.')));
}

std::uint64_t Fingerprint(const HttpRequest& request) {
  return StableHash(request.body,
                    StableHash(request.target, StableHash(request.method)));
}

std::string SecondsRoundedUp(Duration duration) {
  return std::to_string(std::max<long>(
      1, std::chrono::ceil<std::chrono::seconds>(duration).count()));
}

}  // namespace

// One caller's request through claim, attempts and answer.
class CallerService::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(CallerService& service, HttpExchangePtr exchange, RouteMatch match)
      : shared_(service.shared_),
        runner_(service.runner_),
        keys_(service.keys_),
        exchange_(std::move(exchange)),
        match_(match),
        kind_(shared_.settings.deployment.At(match.service)
                  .kinds[match.kind_index]),
        started_(BootClock::now()),
        id_{shared_.incarnation, shared_.next_request++, 0} {
    route_.service = match.service;
    route_.caller_hash = CallerHash(exchange_->caller());
    ++shared_.requests;
  }

  ~Call() { --shared_.requests; }

  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Start() {
    Step("taken by " + shared_.settings.self().name + " from " +
         exchange_->caller() + " as " +
         shared_.settings.deployment.At(match_.service).name + "/" +
         kind_.name + ", " + std::to_string(ToMilliseconds(kind_.deadline)) +
         " ms to run");
    exchange_->OnAbandoned([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnCallerLeft();
      }
    });
    shared_.routes.OnFirstAttempt();
    const auto key = FindHeader(exchange_->request().headers, kKeyHeader);
    if (kind_.repeatable || !key) {
      Attempt();
    } else if (key->empty() || key->size() > kLongestKey) {
      Answer(TextResponse(http_status::kBadRequest,
                          "Idempotency-Key: expected 1 to 128 "
                          "characters\n"),
             RunOutcome::kNotRun);
    } else {
      ClaimKey(*key);
    }
  }

 private:
  void ClaimKey(const std::string& key) {
    // The control thread asks the store every second or so; while that gets
    // no answer, a claim would only make its caller wait for the same.
    if (!shared_.platform_up) {
      Step("key not claimed: the table service is out of reach");
      Refuse({RefusalReason::kStoreDown, kRetryAfterStore});
      return;
    }
    KeyRequest request;
    request.row_name =
        KeyRowName(shared_.settings.deployment.At(match_.service).name, key);
    request.fingerprint = Fingerprint(exchange_->request());
    request.ends_wall_micros =
        WallMicros() + static_cast<std::uint64_t>(kind_.deadline.count());
    keys_.Claim(request, [self = shared_from_this()](ClaimResult result) {
      self->OnClaim(std::move(result));
    });
  }

  void OnClaim(ClaimResult result) {
    switch (result.action) {
      case KeyAction::kRun:
        Step("key claimed in the table service");
        claimed_ = std::move(result.claimed);
        if (left_) {
          ReleaseKey();
        } else {
          Attempt();
        }
        return;
      case KeyAction::kAnswerKept:
        shared_.events.Record(EventCode::kKeyReplayed, ToString(id_),
                              "the kept answer was given again");
        Step("key finished before: kept answer given again");
        Answer(std::move(result.kept), RunOutcome::kAnswered);
        return;
      case KeyAction::kAnswerRunning:
        shared_.events.Record(EventCode::kKeyInProgress, ToString(id_),
                              "a repeat of a running key");
        Step("key is running: its sender has not settled it yet");
        Answer(WithRetryAfter(TextResponse(http_status::kConflict,
                                           "a request with this key is "
                                           "running; ask again later\n"),
                              kind_.deadline),
               RunOutcome::kUnknown);
        return;
      case KeyAction::kAnswerUnknown:
        Step("key was claimed by a request that may have run");
        Unknown(
            "a request with this key may have run; it is never run "
            "again");
        return;
      case KeyAction::kAnswerMismatch:
        Step("key was used for another request");
        Answer(TextResponse(http_status::kUnprocessable,
                            "this key was used for another request\n"),
               RunOutcome::kNotRun);
        return;
      case KeyAction::kRefuseNotRun:
      case KeyAction::kPut:
      case KeyAction::kRead:
        break;
    }
    Step("key could not be claimed: the table service does not answer");
    Refuse({RefusalReason::kStoreDown, kRetryAfterStore});
  }

  void Attempt() {
    auto chosen = shared_.routes.ChooseDomain(route_);
    if (const auto* refusal = std::get_if<Refusal>(&chosen)) {
      Step(std::string("no route: ") + ToString(refusal->reason));
      Refuse(last_refusal_.value_or(*refusal));
      return;
    }
    const DomainRoute route = std::get<DomainRoute>(std::move(chosen));
    const Deployment& deployment = shared_.settings.deployment;
    Step("attempt " + std::to_string(id_.attempt + 1) + " to failure domain " +
         deployment.At(route.domain).name +
         (route.contact ? " by way of " + deployment.At(*route.contact).name
                        : "") +
         ", least expected time of" + route.reason);
    auto request = std::make_shared<RunRequest>();
    request->id = id_;
    request->service = match_.service;
    request->kind_index = match_.kind_index;
    request->kind = kind_;
    request->deadline = started_ + kind_.deadline;
    request->http = exchange_->request();
    RunCallback done = [self = shared_from_this(),
                        domain = route.domain](RunResult result) {
      self->OnResult(domain, std::move(result));
    };
    running_ = true;
    constexpr bool kAtOwner = false;
    const RunHandlePtr handle =
        route.contact ? runner_.relays().Run(*route.contact, kAtOwner, request,
                                             std::move(done))
                      : runner_.RunInDomain(request, std::move(done));
    if (running_) {
      handle_ = handle;
    }
  }

  void OnResult(DomainIndex domain, RunResult result) {
    running_ = false;
    handle_.reset();
    shared_.routes.OnDomainDone(domain, match_.service, result.load);
    Step(result.note);
    last_refusal_.reset();
    switch (result.outcome) {
      case RunOutcome::kAnswered:
        OnAnswered(std::move(result.response));
        return;
      case RunOutcome::kNotRun:
        last_refusal_ = result.refusal;
        if (!TryAgain(domain)) {
          Refuse(result.refusal);
        }
        return;
      case RunOutcome::kUnknown:
        if (!kind_.repeatable || !TryAgain(domain)) {
          Unknown("the request may have run");
        }
        return;
    }
  }

  void OnAnswered(HttpResponse response) {
    if (claimed_) {
      keys_.Finish(std::move(*claimed_), response);
      claimed_.reset();
    }
    Answer(std::move(response), RunOutcome::kAnswered);
  }

  bool TryAgain(DomainIndex domain) {
    const bool in_time = BootClock::now() < started_ + kind_.deadline;
    if (left_ || !in_time || id_.attempt + 1 >= kMostAttempts) {
      return false;
    }
    // The budget guards upstreams; an attempt that found no owner reached
    // none and costs nothing of it.
    const bool free_of_charge =
        last_refusal_ && last_refusal_->reason == RefusalReason::kNoOwner;
    if (!free_of_charge && !shared_.routes.TryRetry()) {
      Step("not retried: the retry budget is used up");
      return false;
    }
    shared_.events.Record(
        EventCode::kRequestRetried, ToString(id_),
        "after " + shared_.settings.deployment.At(domain).name);
    ++id_.attempt;
    route_.tried.insert(domain);
    route_.is_retry = true;
    Attempt();
    return true;
  }

  void OnCallerLeft() {
    left_ = true;
    Step("the caller left");
    shared_.events.Record(EventCode::kCallerLeft, ToString(id_),
                          "before the answer");
    if (handle_) {
      // The callback may come inside the call and reset handle_.
      const RunHandlePtr handle = handle_;
      handle->Cancel();
    }
  }

  void Refuse(const Refusal& refusal) {
    ReleaseKey();
    shared_.events.Record(EventCode::kRequestRefused, ToString(id_),
                          ToString(refusal.reason));
    Step(std::string("refused, not run: ") + ToString(refusal.reason));
    Answer(WithRetryAfter(TextResponse(http_status::kUnavailable,
                                       std::string("not run: ") +
                                           ToString(refusal.reason) + "\n"),
                          refusal.retry_after),
           RunOutcome::kNotRun);
  }

  void Unknown(const std::string& why) {
    if (claimed_) {
      keys_.MarkUnknown(std::move(*claimed_));
      claimed_.reset();
    }
    shared_.events.Record(EventCode::kRequestUnknown, ToString(id_), why);
    Answer(TextResponse(http_status::kBadGateway, why + "\n"),
           RunOutcome::kUnknown);
  }

  void ReleaseKey() {
    if (claimed_) {
      keys_.Release(*claimed_);
      claimed_.reset();
    }
  }

  static HttpResponse WithRetryAfter(HttpResponse response,
                                     Duration retry_after) {
    response.headers.push_back({"Retry-After", SecondsRoundedUp(retry_after)});
    return response;
  }

  void Answer(HttpResponse response, RunOutcome outcome) {
    response.headers.push_back({kIdHeader, ToString(id_)});
    response.headers.push_back({kOutcomeHeader, ToString(outcome)});
    const Duration latency = BootClock::now() - started_;
    Step("answered with status " + std::to_string(response.status) + ", " +
         ToString(outcome) + ", after " +
         std::to_string(ToMilliseconds(latency)) + " ms");
    const Service& service = shared_.settings.deployment.At(match_.service);
    shared_.metrics.Record(service.name + "/" + kind_.name, outcome, latency);
    shared_.traces.Keep(RequestId{id_.incarnation, id_.sequence, 0},
                        std::move(steps_));
    exchange_->Respond(std::move(response));
  }

  void Step(const std::string& text) {
    std::ostringstream line;
    line << "+" << ToMilliseconds(BootClock::now() - started_)
         << " ms: " << text;
    steps_.push_back(line.str());
  }

  static constexpr Duration kRetryAfterStore{2'000'000};

  Shared& shared_;
  DomainRunner& runner_;
  KeyLedger& keys_;
  HttpExchangePtr exchange_;
  RouteMatch match_;
  RequestKind kind_;
  Time started_;
  RequestId id_;
  RouteRequest route_;
  std::optional<ClaimedKey> claimed_;
  std::optional<Refusal> last_refusal_;
  RunHandlePtr handle_;
  std::vector<std::string> steps_;
  bool running_ = false;
  bool left_ = false;
};

CallerService::CallerService(Shared& shared,
                             DomainRunner& runner,
                             KeyLedger& keys,
                             QObject* parent)
    : QObject(parent), shared_(shared), runner_(runner), keys_(keys) {}

void CallerService::Handle(const HttpExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  if (std::string_view(request.target).starts_with(kLocatePath)) {
    Locate(exchange);
    return;
  }
  const MatchResult result =
      MatchRequest(shared_.settings.deployment, request.method, request.target);
  if (!result.match) {
    const bool no_service = result.fault == MatchFault::kNoService;
    exchange->Respond(
        no_service ? TextResponse(http_status::kNotFound, "no such service\n")
                   : TextResponse(http_status::kMethodNotAllowed,
                                  "not a kind of this service\n"));
    return;
  }
  std::make_shared<Call>(*this, exchange, *result.match)->Start();
}

void CallerService::Locate(const HttpExchangePtr& exchange) {
  const QUrl url(QString::fromStdString(exchange->request().target));
  const QString service = QUrlQuery(url).queryItemValue("service");
  const bool known =
      service.isEmpty() ||
      shared_.settings.deployment.FindService(service.toStdString());
  if (!known) {
    exchange->Respond(
        TextResponse(http_status::kNotFound, "no such service\n"));
    return;
  }
  exchange->Respond(
      JsonResponse(http_status::kOk, LocateJson(shared_, exchange->caller())));
}

std::uint64_t CallerService::BodyLimit(std::string_view method,
                                       std::string_view target) const {
  const MatchResult result =
      MatchRequest(shared_.settings.deployment, method, target);
  if (!result.match) {
    return 0;
  }
  const Service& service =
      shared_.settings.deployment.At(result.match->service);
  return service.kinds[result.match->kind_index].max_body_bytes;
}

}  // namespace pathcleat
