// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Crowds of clients that do not behave, against one entry host that runs as a
// process of its own. Whatever they send, the process lives, holds no more
// memory than its machine has and no more descriptors than its limit allows,
// and answers an ordinary caller afterwards, while the crowd's connections are
// still open.

#include "pathcleat/http/http_client.hpp"
#include "platform_stand_in.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <charconv>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "crowd.hpp"
#include "event_loop.hpp"
#include "header_names.hpp"
#include "host_process.hpp"
#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_server.hpp"
#include "pathcleat/http/http_status.hpp"
#include "read_write_config.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kKilobyte = 1'024;
constexpr std::uint64_t kMegabyte = kKilobyte * kKilobyte;
// Memory of the smallest machine that hosts run on.
constexpr std::uint64_t kMachineBytes = 160 * kMegabyte;
// Descriptors of a host's limit that connections may not take.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::uint64_t kMaxBodyBytes = 4 * kMegabyte;

struct ServicePlan {
  std::uint32_t max_descriptors = 4'100;
  std::uint32_t max_header_bytes = 16 * kKilobyte;
  std::uint64_t max_body_bytes = kMaxBodyBytes;
  std::chrono::milliseconds run_time{0};  ///< of each request at an upstream
};

// An upstream that answers "GET /s/read/N" with N bytes and everything else
// with a short text.
class Upstream {
 public:
  Upstream(boost::asio::io_context& loop, std::chrono::milliseconds run_time)
      : loop_(loop),
        run_time_(run_time),
        server_(loop, [this](const HttpExchangePtr& e) { Handle(e); }) {
    HttpLimits limits;
    limits.max_body_bytes = 64 * kMegabyte;
    limits.idle_timeout = std::chrono::hours(1);
    server_.SetLimits(limits);
  }

  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port) {
    return server_.Listen(address, port);
  }

 private:
  void Handle(const HttpExchangePtr& exchange) {
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(loop_, run_time_);
    timer->async_wait([this, timer, exchange](const auto&) {
      const HttpRequest& request = exchange->request();
      HttpResponse response =
          TextResponse(http_status::kOk, AnswerTo(request.target));
      response.headers.push_back(
          {names_.request_id,
           FindHeader(request.headers, names_.request_id).value_or("")});
      response.headers.push_back({names_.signature, "signed"});
      response.headers.push_back({names_.upstream_id, "upstream-a"});
      exchange->Respond(std::move(response));
    });
  }

  static std::string AnswerTo(const std::string& target) {
    constexpr std::string_view kSized = "/s/read/";
    std::size_t bytes = 0;
    if (target.starts_with(kSized)) {
      std::from_chars(target.data() + kSized.size(),
                      target.data() + target.size(), bytes);
    }
    return bytes > 0 ? std::string(bytes, 'a') : "done\n";
  }

  boost::asio::io_context& loop_;
  HeaderNames names_ = platform::PlatformHeaderNames();
  std::chrono::milliseconds run_time_;
  HttpServer server_;
};

// One entry host as a process, with the platform and an upstream in a thread of
// this test.
class Service {
 public:
  explicit Service(const ServicePlan& plan = {})
      : plan_(plan), platform_(loop_, 1), upstream_(loop_, plan.run_time) {
    SilenceLog();
    AssertListening(platform_.Listen(address_, kStorePort));
    AssertListening(upstream_.Listen(address_, kUpstreamPort));
    platform_.PutConfig(MakeConfig());
    platform_.PutUpstream(MakeUpstreamInfo());
    thread_ = std::thread([this] { loop_.run(); });
    HostProcessPlan host;
    host.address = address_;
    host.port = kHostPort;
    host.store_address = address_ + ":" + std::to_string(kStorePort);
    host.max_descriptors = plan.max_descriptors;
    host_ = std::make_unique<HostProcess>(host);
    AwaitReady();
    Observe();
  }
  ~Service() {
    host_.reset();
    loop_.stop();
    thread_.join();
  }
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  HostProcess& host() { return *host_; }

  // Samples what the process holds now.
  void Observe() {
    const ProcessUsage usage = host_->Usage();
    peak_.memory_bytes = std::max(peak_.memory_bytes, usage.memory_bytes);
    peak_.descriptors = std::max(peak_.descriptors, usage.descriptors);
  }

  // Lets a crowd send, and waits until the host's memory stands still.
  void Send(Crowd& crowd) {
    crowd.Send([this] { Observe(); });
    Settle();
  }

  void Settle() {
    constexpr std::chrono::milliseconds kInterval{20};
    constexpr int kMaxSamples = 500;
    constexpr int kEqualSamples = 50;
    std::uint64_t before = 0;
    int equal = 0;
    for (int i = 0; i < kMaxSamples && equal < kEqualSamples; ++i) {
      Observe();
      const std::uint64_t now = host_->Usage().memory_bytes;
      equal = now == before ? equal + 1 : 0;
      before = now;
      std::this_thread::sleep_for(kInterval);
    }
  }

  // Checks the host after a crowd, while its connections are open.
  void ExpectUnharmed() {
    Observe();
    const std::uint64_t memory =
        std::max(peak_.memory_bytes, host_->PeakResidentBytes());
    const bool alive = host_->IsAlive();
    const CallResult answer = alive ? Ask(OrdinaryRequest()) : CallResult();
    Observe();
    cr_log_info("memory %llu of %llu MB, descriptors %zu of %zu",
                static_cast<unsigned long long>(memory / kMegabyte),
                static_cast<unsigned long long>(kMachineBytes / kMegabyte),
                peak_.descriptors, MaxConnectionDescriptors());
    cr_expect(alive, "the process has ended: %s", host_->LogTail().c_str());
    cr_expect_leq(memory, kMachineBytes);
    cr_expect_leq(peak_.descriptors, MaxConnectionDescriptors());
    cr_expect_eq(answer.response.status, http_status::kOk,
                 "an ordinary request got status %d, %s",
                 answer.response.status, answer.detail.c_str());
  }

  // Sends one request over a connection of its own and waits for the answer.
  CallResult Ask(const HttpRequest& request) {
    return AskAt(host_->callers(), request);
  }

  static HttpRequest OrdinaryRequest() {
    return {"POST", "/s/write/entry", {{"Host", "test.example"}}, "entry"};
  }

 private:
  static constexpr std::uint16_t kStorePort = 20'000;
  static constexpr std::uint16_t kUpstreamPort = 20'001;
  static constexpr std::uint16_t kHostPort = 20'010;

  static void AssertListening(const Result<std::uint16_t>& port) {
    cr_assert(port.has_value(), "a stand-in could not listen");
  }

  std::size_t MaxConnectionDescriptors() const {
    return plan_.max_descriptors - kFileDescriptors;
  }

  // Long enough that no partial request expires within a test.
  RoutingConfig MakeConfig() const {
    Route common;
    common.timeout = std::chrono::seconds(20);
    RoutingConfig config = MakeReadWriteConfig(common);
    config.caller_limits.max_header_bytes = plan_.max_header_bytes;
    config.caller_limits.max_body_bytes = plan_.max_body_bytes;
    config.caller_limits.read_timeout = std::chrono::minutes(2);
    config.caller_limits.idle_timeout = std::chrono::minutes(2);
    return config;
  }

  UpstreamInfo MakeUpstreamInfo() const {
    constexpr int kSlots = 400;
    UpstreamInfo info;
    info.id = "upstream-a";
    info.service = "s";
    info.address = address_ + ":" + std::to_string(kUpstreamPort);
    info.domain = "domain-a";
    info.slots = kSlots;
    return info;
  }

  CallResult AskAt(std::uint16_t port, const HttpRequest& request) {
    boost::asio::io_context loop{1};
    HttpLimits limits;
    limits.max_body_bytes = 64 * kMegabyte;
    const auto client = std::make_shared<HttpClient>(
        loop, *ParseTcpEndpoint(address_ + ":" + std::to_string(port)), limits);
    bool done = false;
    CallResult result;
    client->Send(request, {std::chrono::seconds(30), std::chrono::seconds(30)},
                 [&](const CallResult& call_result) {
                   result = call_result;
                   done = true;
                 });
    cr_assert(WaitUntil(loop, [&] { return done; }));
    client->Cancel();
    return result;
  }

  void AwaitReady() {
    constexpr int kAttempts = 300;
    for (int i = 0; i < kAttempts; ++i) {
      cr_assert(host_->IsAlive(), "the host did not start: %s",
                host_->LogTail().c_str());
      const HttpRequest ready{"GET", "/v1/ready", {{"Host", "t"}}, ""};
      if (AskAt(host_->readiness(), ready).response.status ==
              http_status::kOk &&
          Ask(OrdinaryRequest()).response.status == http_status::kOk) {
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    cr_assert_fail("the host did not get ready: %s", host_->LogTail().c_str());
  }

  ServicePlan plan_;
  boost::asio::io_context loop_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_ = boost::asio::make_work_guard(loop_);
  std::string address_ = UniqueLoopbackAddress();
  platform::PlatformStandIn platform_;
  Upstream upstream_;
  std::thread thread_;
  std::unique_ptr<HostProcess> host_;
  ProcessUsage peak_;
};

std::string Head(const std::string& method,
                 const std::string& target,
                 const std::string& fields) {
  return method + " " + target + " HTTP/1.1\r\nHost: test.example\r\n" +
         fields + "\r\n";
}

std::string ChunkedHead() {
  return Head("POST", "/s/write/entry", "Transfer-Encoding: chunked\r\n");
}

std::string HeadWithLength(std::uint64_t bytes) {
  return Head("POST", "/s/write/entry",
              "Content-Length: " + std::to_string(bytes) + "\r\n");
}

std::string Chunk(std::size_t bytes) {
  std::array<char, 16> size{};
  const auto end =
      std::to_chars(size.data(), size.data() + size.size(), bytes, 16).ptr;
  return std::string(size.data(), end) + "\r\n" + std::string(bytes, 'b') +
         "\r\n";
}

constexpr std::uint64_t kEndlessBytes = 40 * kMegabyte;
constexpr int kEndlessCount = 4;

// Chunked bodies, then trailers without end: many fields, or one.
void AddEndlessTrailers(Crowd& crowd) {
  const std::string begin = ChunkedHead() + Chunk(16) + "0\r\n";
  crowd.Add(kEndlessCount, {begin, "a: b\r\n", kEndlessBytes, ""});
  crowd.Add(kEndlessCount, {begin + "a: ", "b", kEndlessBytes, ""});
}

// Guards against trailers that a host reads without limit.
Test(client_crowds, trailers_without_end) {
  Service service;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  AddEndlessTrailers(crowd);
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against bodies that together take more memory than the machine has,
// though each is legal: sent whole, all at once.
Test(client_crowds, large_bodies_whole_at_once) {
  ServicePlan plan;
  plan.run_time = std::chrono::seconds(2);
  Service service(plan);
  constexpr int kCount = 64;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  crowd.Add(kCount, {HeadWithLength(kMaxBodyBytes), "b", kMaxBodyBytes, ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against legal bodies that stop one byte short of their end and stay
// open.
Test(client_crowds, large_bodies_that_stop_short) {
  Service service;
  constexpr int kCount = 64;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  crowd.Add(kCount,
            {HeadWithLength(kMaxBodyBytes), "b", kMaxBodyBytes - 1, ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against legal bodies in chunks that stop before the last chunk.
Test(client_crowds, large_bodies_in_pieces_that_stop_short) {
  Service service;
  constexpr int kCount = 64;
  constexpr std::size_t kChunkBytes = 8'000;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  const std::string chunk = Chunk(kChunkBytes);
  const std::uint64_t chunks = kMaxBodyBytes / kChunkBytes;
  crowd.Add(kCount, {ChunkedHead(), chunk, chunks * chunk.size(), ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against many bodies of moderate size that stop one byte short.
Test(client_crowds, many_moderate_bodies_that_stop_short) {
  Service service;
  constexpr int kCount = 1'500;
  constexpr std::uint64_t kBytes = 150 * kKilobyte;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  crowd.Add(kCount, {HeadWithLength(kBytes), "b", kBytes - 1, ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against bodies that stop short and then grow by single bytes, so that
// they never stand still.
Test(client_crowds, large_bodies_that_grow_by_single_bytes) {
  Service service;
  constexpr int kCount = 64;
  constexpr int kSingleBytes = 50;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  crowd.Add(kCount, {HeadWithLength(kMaxBodyBytes), "b",
                     kMaxBodyBytes - 2 * kSingleBytes, ""});
  service.Send(crowd);
  for (int i = 0; i < kSingleBytes; ++i) {
    crowd.SendOneByte();
    service.Observe();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  service.ExpectUnharmed();
}

// Guards against bodies over the limit: announced, in one chunk, or in as many
// chunks as the host takes.
Test(client_crowds, bodies_over_the_limit) {
  Service service;
  constexpr int kAnnouncedCount = 4;
  constexpr int kCount = 64;
  constexpr std::size_t kChunkBytes = 8'000;
  constexpr std::uint64_t kSentBytes = 8 * kMaxBodyBytes;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  crowd.Add(kAnnouncedCount, {HeadWithLength(kSentBytes), "b", kSentBytes, ""});
  crowd.Add(kAnnouncedCount,
            {ChunkedHead() + "40000000\r\n", "b", kSentBytes, ""});
  crowd.Add(kCount, {ChunkedHead(), Chunk(kChunkBytes), kSentBytes, ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against heads that stop just short of their end.
Test(client_crowds, heads_that_stop_short) {
  ServicePlan plan;
  plan.max_header_bytes = 256 * kKilobyte;
  Service service(plan);
  constexpr int kCount = 850;
  constexpr std::uint64_t kBytes = 255 * kKilobyte;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  crowd.Add(kCount, {"GET /s/read/1 HTTP/1.1\r\nHost: test.example\r\n",
                     "a: b\r\n", kBytes, "a: b"});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against chunk lines without end: an extension, or leading zeros of the
// size.
Test(client_crowds, chunk_lines_without_end) {
  Service service;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  crowd.Add(kEndlessCount, {ChunkedHead() + "10;", "x", kEndlessBytes, ""});
  crowd.Add(kEndlessCount, {ChunkedHead(), "0", kEndlessBytes, ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against requests in a row, sent without waiting for any answer.
Test(client_crowds, requests_in_a_row) {
  Service service;
  constexpr int kCount = 600;
  constexpr std::uint64_t kBytes = 3 * kMegabyte;
  Crowd crowd(service.host().address(), service.host().callers(), {});
  crowd.Add(kCount, {"", Head("GET", "/s/read/1", ""), kBytes, ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against callers that ask for large answers and do not read them.
Test(client_crowds, answers_that_nobody_reads) {
  Service service;
  constexpr int kCount = 64;
  constexpr int kReceiveBuffer = 4'096;
  Crowd::Options options;
  options.reads_answers = false;
  options.receive_buffer = kReceiveBuffer;
  Crowd crowd(service.host().address(), service.host().callers(), options);
  crowd.Add(kCount, {Head("GET", "/s/read/8000000", ""), "", 0, ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against a body of the largest legal size that takes more memory than
// the smallest machine has, although nothing else is under way.
Test(client_crowds, single_largest_body_is_served) {
  ServicePlan plan;
  plan.max_body_bytes = 64 * kMegabyte;
  Service service(plan);
  for (int i = 0; i < 2; ++i) {
    HttpRequest request = Service::OrdinaryRequest();
    request.body = std::string(plan.max_body_bytes, 'b');
    const CallResult result = service.Ask(request);
    cr_expect_eq(result.response.status, http_status::kOk, "status %d, %s",
                 result.response.status, result.detail.c_str());
    service.Observe();
  }
  service.ExpectUnharmed();
}

// Guards against other listeners of a host that read trailers without limit.
void TestEndlessTrailersAt(std::uint16_t (HostProcess::*port)() const) {
  Service service;
  Crowd crowd(service.host().address(), (service.host().*port)(), {});
  AddEndlessTrailers(crowd);
  service.Send(crowd);
  service.ExpectUnharmed();
}

Test(client_crowds, trailers_at_the_locate_listener) {
  TestEndlessTrailersAt(&HostProcess::locate);
}

Test(client_crowds, trailers_at_the_metrics_listener) {
  TestEndlessTrailersAt(&HostProcess::metrics);
}

Test(client_crowds, trailers_at_the_operators_listener) {
  TestEndlessTrailersAt(&HostProcess::operators);
}

Test(client_crowds, trailers_at_the_peers_listener) {
  TestEndlessTrailersAt(&HostProcess::peers);
}

// Guards against legal bodies at the readiness listener that stop one byte
// short.
Test(client_crowds, bodies_at_the_readiness_listener) {
  Service service;
  constexpr int kCount = 250;
  constexpr std::uint64_t kBytes = kMegabyte;
  Crowd crowd(service.host().address(), service.host().readiness(), {});
  crowd.Add(kCount, {HeadWithLength(kBytes), "b", kBytes - 1, ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

// Guards against connections to the other listeners that take all descriptors.
void TestConnectionsAt(std::uint16_t (HostProcess::*port)() const) {
  ServicePlan plan;
  plan.max_descriptors = 700;
  Service service(plan);
  constexpr int kCount = 900;
  Crowd crowd(service.host().address(), (service.host().*port)(), {});
  crowd.Add(kCount, {"GET / HTTP/1.1\r\n", "", 0, ""});
  service.Send(crowd);
  service.ExpectUnharmed();
}

Test(client_crowds, connections_to_the_callers_listener) {
  TestConnectionsAt(&HostProcess::callers);
}

Test(client_crowds, connections_to_the_locate_listener) {
  TestConnectionsAt(&HostProcess::locate);
}

Test(client_crowds, connections_to_the_metrics_listener) {
  TestConnectionsAt(&HostProcess::metrics);
}

Test(client_crowds, connections_to_the_readiness_listener) {
  TestConnectionsAt(&HostProcess::readiness);
}

Test(client_crowds, connections_to_the_operators_listener) {
  TestConnectionsAt(&HostProcess::operators);
}

Test(client_crowds, connections_to_the_peers_listener) {
  TestConnectionsAt(&HostProcess::peers);
}

}  // namespace
}  // namespace pathcleat
