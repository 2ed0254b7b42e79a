// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/listen_probe.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct Attempt {
  explicit Attempt(boost::asio::io_context& loop) : socket(loop), timer(loop) {}
  tcp::socket socket;
  boost::asio::steady_timer timer;
};

}  // namespace

void ListenProbe::Probe(const tcp::endpoint& endpoint,
                        Duration timeout,
                        std::function<void()> refused) {
  const auto attempt = std::make_shared<Attempt>(loop_);
  attempt->timer.expires_after(timeout);
  attempt->timer.async_wait([attempt](const error_code& error) {
    if (!error) {
      error_code ignored;
      attempt->socket.close(ignored);
    }
  });
  attempt->socket.async_connect(
      endpoint, [attempt, alive = std::weak_ptr<bool>(alive_),
                 refused = std::move(refused)](const error_code& error) {
        attempt->timer.cancel();
        if (error == boost::asio::error::connection_refused &&
            !alive.expired()) {
          refused();
        }
      });
}

}  // namespace pathcleat
