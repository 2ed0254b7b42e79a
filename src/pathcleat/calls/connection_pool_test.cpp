// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/connection_pool.hpp"

#include <criterion/criterion.h>

#include <string>

#include "event_loop.hpp"
#include "pathcleat/http/http_message.hpp"
#include "pathcleat/http/http_server.hpp"

namespace pathcleat {
namespace {

struct PoolFixture {
  boost::asio::io_context loop{1};
  HttpServer server{loop, [](const HttpExchangePtr& exchange) {
                      exchange->Respond(TextResponse(200, "done\n"));
                    }};
  std::string address;
  ConnectionPool pool{loop};

  PoolFixture() {
    const std::string ip = UniqueLoopbackAddress();
    TryOr(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(port, server.Listen(ip, 0));
          address = ip + ":" + std::to_string(port);
          return {};
        },
        [](const Error&) {});
    cr_assert_not(address.empty());
  }

  UpstreamInfo Upstream(const std::string& id) const {
    UpstreamInfo upstream;
    upstream.id = id;
    upstream.address = address;
    return upstream;
  }

  HttpClientPtr OpenConnection(const std::string& id) {
    const HttpClientPtr client = pool.Create(Upstream(id));
    bool done = false;
    client->Send({"GET", "/", {{"Host", "test"}}, ""}, {},
                 [&done](const CallResult&) { done = true; });
    cr_assert(WaitUntil(loop, [&done] { return done; }));
    cr_assert(client->IsReusable());
    return client;
  }

  void AddIdleConnection(const std::string& id) {
    pool.Release(id, OpenConnection(id));
  }

  bool HasIdleConnection(const std::string& id) {
    const HttpClientPtr client =
        pool.Acquire(Upstream(id), true, BootClock::now());
    const bool kept = client->IsReusable();
    pool.Release(id, client);
    return kept;
  }

  void WaitUntilSilent(const HttpClientPtr& client) {
    cr_assert(WaitUntil(loop, [&client] {
      return BootClock::now() - client->last_byte_at() > kMinSilence;
    }));
  }
};

// Guards against reusing connections that a network fault has silenced: idle
// connections from before a silence are closed, and connections that have
// received bytes since then stay open. Fails with CloseUnresponsive switched
// off.
Test(connection_pool, connections_opened_before_a_silence_are_not_reused) {
  PoolFixture fixture;
  const HttpClientPtr silent = fixture.OpenConnection("u");
  fixture.AddIdleConnection("u");
  fixture.AddIdleConnection("u");
  fixture.WaitUntilSilent(
      fixture.pool.Acquire(fixture.Upstream("u"), true, BootClock::now()));
  cr_assert(fixture.HasIdleConnection("u"));
  cr_assert(fixture.pool.OnSilentConnection("u", *silent, BootClock::now()));
  cr_assert_not(fixture.HasIdleConnection("u"));
  fixture.AddIdleConnection("u");
  // A second connection from before the same silence shows nothing new about
  // the upstream.
  cr_assert_not(
      fixture.pool.OnSilentConnection("u", *silent, BootClock::now()));
  cr_assert(fixture.HasIdleConnection("u"));
  cr_assert_eq(fixture.pool.silent_connections(), 2U);
}

// Guards against reusing silenced connections after a network fault at this
// host, which shows as silence of two upstreams at about the same time. Fails
// with IsOtherUpstreamSilent switched off.
Test(connection_pool, silence_of_two_upstreams_closes_idle_connections_to_all) {
  PoolFixture fixture;
  const HttpClientPtr first = fixture.OpenConnection("a");
  const HttpClientPtr second = fixture.OpenConnection("b");
  const HttpClientPtr last = fixture.OpenConnection("c");
  fixture.pool.Release("c", last);
  fixture.WaitUntilSilent(last);
  fixture.pool.OnSilentConnection("a", *first, BootClock::now());
  cr_assert(fixture.HasIdleConnection("c"));
  fixture.pool.OnSilentConnection("b", *second, BootClock::now());
  cr_assert_not(fixture.HasIdleConnection("c"));
}

// Guards against losing unrepeatable requests on connections that the upstream
// has dropped while idle. Repeatable requests may use such connections, as
// these requests are sent again at no cost to the caller. Fails without the
// comparison with MaxIdle in ConnectionPool::Acquire.
Test(connection_pool,
     unrepeatable_requests_avoid_connections_that_may_be_stale) {
  constexpr Duration kIdleTime{200'000};
  PoolFixture fixture;
  fixture.AddIdleConnection("u");
  const Time later = BootClock::now() + kIdleTime;
  cr_assert(
      fixture.pool.Acquire(fixture.Upstream("u"), false, later)->IsReusable(),
      "no stale connection was found yet");
  fixture.AddIdleConnection("u");
  fixture.pool.OnStaleConnection(fixture.Upstream("u"), kIdleTime, later);
  cr_assert_not(
      fixture.pool.Acquire(fixture.Upstream("u"), false, later)->IsReusable());
  cr_assert(
      fixture.pool.Acquire(fixture.Upstream("u"), true, later)->IsReusable());
}

}  // namespace
}  // namespace pathcleat
