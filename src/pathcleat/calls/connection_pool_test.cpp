// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/connection_pool.hpp"

#include <criterion/criterion.h>

#include <string>

#include "event_loop.hpp"
#include "pathcleat/http/http_message.hpp"
#include "pathcleat/http/http_server.hpp"

namespace pathcleat {
namespace {

struct PoolWorld {
  boost::asio::io_context loop{1};
  HttpServer server{loop, [](const HttpExchangePtr& exchange) {
                      exchange->Respond(TextResponse(200, "done\n"));
                    }};
  std::string address;
  ConnectionPool pool{loop};

  PoolWorld() {
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

  HttpClientPtr Opened(const std::string& id) {
    const HttpClientPtr client = pool.Create(Upstream(id));
    bool done = false;
    client->Send({"GET", "/", {{"Host", "test"}}, ""}, {},
                 [&done](const CallResult&) { done = true; });
    cr_assert(WaitUntil(loop, [&done] { return done; }));
    cr_assert(client->IsReusable());
    return client;
  }

  void Keep(const std::string& id) { pool.Release(id, Opened(id)); }

  bool Keeps(const std::string& id) {
    const HttpClientPtr client =
        pool.Acquire(Upstream(id), true, BootClock::now());
    const bool kept = client->IsReusable();
    pool.Release(id, client);
    return kept;
  }

  void AwaitUnheard(const HttpClientPtr& client) {
    cr_assert(WaitUntil(loop, [&client] {
      return BootClock::now() - client->last_byte_at() > kMinSilence;
    }));
  }
};

// What was kept before a silence is not trusted, what was heard since is.
// Checked to fail with CloseUnheard closing nothing.
Test(upstream_pool, connections_from_before_a_silence_are_not_used) {
  PoolWorld world;
  const HttpClientPtr silent = world.Opened("u");
  world.Keep("u");
  world.Keep("u");
  world.AwaitUnheard(
      world.pool.Acquire(world.Upstream("u"), true, BootClock::now()));
  cr_assert(world.Keeps("u"));
  cr_assert(world.pool.OnSilentConnection("u", *silent, BootClock::now()));
  cr_assert_not(world.Keeps("u"));
  world.Keep("u");
  // The others that are found tell nothing new.
  cr_assert_not(world.pool.OnSilentConnection("u", *silent, BootClock::now()));
  cr_assert(world.Keeps("u"));
  cr_assert_eq(world.pool.silent_connections(), 2U);
}

// Checked to fail with IsOtherSilent returning false.
Test(upstream_pool, silence_of_two_upstreams_is_taken_for_all) {
  PoolWorld world;
  const HttpClientPtr first = world.Opened("a");
  const HttpClientPtr second = world.Opened("b");
  const HttpClientPtr last = world.Opened("c");
  world.pool.Release("c", last);
  world.AwaitUnheard(last);
  world.pool.OnSilentConnection("a", *first, BootClock::now());
  cr_assert(world.Keeps("c"));
  world.pool.OnSilentConnection("b", *second, BootClock::now());
  cr_assert_not(world.Keeps("c"));
}

// Work that may be repeated finds out by itself, at no cost to its caller.
// Checked to fail with the comparison left out of UpstreamPool::Take.
Test(upstream_pool, work_that_runs_once_avoids_connections_that_may_be_gone) {
  constexpr Duration kRest{200'000};
  PoolWorld world;
  world.Keep("u");
  const Time later = BootClock::now() + kRest;
  cr_assert(world.pool.Acquire(world.Upstream("u"), false, later)->IsReusable(),
            "nothing was forgotten yet");
  world.Keep("u");
  world.pool.OnStaleConnection(world.Upstream("u"), kRest, later);
  cr_assert_not(
      world.pool.Acquire(world.Upstream("u"), false, later)->IsReusable());
  cr_assert(world.pool.Acquire(world.Upstream("u"), true, later)->IsReusable());
}

}  // namespace
}  // namespace pathcleat
