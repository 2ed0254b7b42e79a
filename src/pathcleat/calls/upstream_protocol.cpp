// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/upstream_protocol.hpp"

#include "pathcleat/calls/forward_token.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <string_view>
#include <system_error>

#include "pathcleat/core/outside_bounds.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

using boost::beast::iequals;

std::string SecondsText(Duration duration) {
  std::array<char, 32> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "%.3f",
                    std::chrono::duration<double>(duration).count());
  return {text.data(), static_cast<std::size_t>(size)};
}

HttpResponse RefusalResponse(int status,
                             const std::string& reason,
                             Duration retry_after) {
  HttpResponse response = TextResponse(status, "not run: " + reason + "\n");
  response.headers.push_back({"Retry-After", SecondsText(retry_after)});
  return response;
}

bool IsFraction(std::string_view text) {
  return !text.empty() && text.front() == '.' &&
         std::all_of(text.begin() + 1, text.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<Duration> ParseCallerTimeout(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool too_large = parsed.ec == std::errc::result_out_of_range;
  if (parsed.ec != std::errc() && !too_large) {
    return std::nullopt;
  }
  const std::string_view rest(parsed.ptr, text.data() + text.size());
  if (!rest.empty() && !IsFraction(rest)) {
    return std::nullopt;
  }
  if (text.front() == '-') {
    return Duration::zero();
  }
  // No caller waits longer.
  const std::int64_t max_milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxOutsideDuration)
          .count();
  return std::chrono::milliseconds(
      too_large ? max_milliseconds : std::min(value, max_milliseconds));
}

// Accepts finite numbers that are 0 or more.
std::optional<double> ParseQuantity(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const bool readable = parsed.ec == std::errc() && parsed.ptr == end &&
                        std::isfinite(value) && value >= 0;
  return readable ? std::optional(value) : std::nullopt;
}

std::optional<Duration> ParseDelay(std::string_view text) {
  const auto seconds = ParseQuantity(text);
  if (!seconds) {
    return std::nullopt;
  }
  const std::chrono::duration<double> delay(*seconds);
  return delay < kMaxOutsideDuration
             ? std::chrono::duration_cast<Duration>(delay)
             : kMaxOutsideDuration;
}

}  // namespace

std::optional<Duration> CallerTimeout(const HeaderNames& names,
                                      const HttpRequest& request) {
  const auto text = FindHeader(request.headers, names.deadline_ms);
  return text ? ParseCallerTimeout(*text) : std::nullopt;
}

HttpRequest MakeUpstreamRequest(const HeaderNames& names,
                                const HttpRequest& request,
                                const RequestMetadata& metadata,
                                const std::string& upstream_id,
                                Duration left) {
  HttpRequest out = request;
  out.headers = EndToEndHeaders(out.headers);
  std::erase_if(out.headers, [&names, &metadata](const HttpHeader& header) {
    return iequals(header.name, names.deadline_ms) ||
           iequals(header.name, names.expect_upstream) ||
           iequals(header.name, names.account) ||
           iequals(header.name, kForwardHeader) ||
           (metadata.strips_authorization &&
            iequals(header.name, "Authorization")) ||
           iequals(header.name, "Expect");
  });
  if (!FindHeader(out.headers, names.request_id)) {
    out.headers.push_back({names.request_id, metadata.request_id});
  }
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  out.headers.push_back({names.deadline_ms, std::to_string(milliseconds)});
  out.headers.push_back({names.expect_upstream, upstream_id});
  if (metadata.account != nullptr) {
    out.headers.push_back({names.account, metadata.account->name});
  }
  return out;
}

HttpClient::Matcher MakeResponseMatcher(const HeaderNames& names,
                                        const std::string& request_id) {
  return
      [id = request_id, name = names.request_id](const HttpResponse& response) {
        const auto found = FindHeader(response.headers, name);
        return id.empty() || !found || *found == id;
      };
}

std::optional<LoadReport> ParseLoadReport(const HeaderNames& names,
                                          const HttpResponse& response) {
  const auto text = FindHeader(response.headers, names.load);
  if (!text) {
    return std::nullopt;
  }
  std::array<int, 3> numbers{};
  const char* at = text->data();
  const char* end = text->data() + text->size();
  for (int& number : numbers) {
    const auto parsed = std::from_chars(at, end, number);
    if (parsed.ec != std::errc() || number < 0) {
      return std::nullopt;
    }
    number = ClampOutside(number);
    at = parsed.ptr == end ? end : parsed.ptr + 1;
  }
  return LoadReport{numbers[0], numbers[1], numbers[2]};
}

RateLimitHeader ParseRateLimit(const HeaderNames& names,
                               const HttpResponse& response) {
  RateLimitHeader field;
  for (const HttpHeader& header : response.headers) {
    if (names.rate_limit.empty() || !iequals(header.name, names.rate_limit)) {
      continue;
    }
    field.present = true;
    const auto limit = ParseQuantity(header.value);
    if (limit && (!field.per_second || *limit < *field.per_second)) {
      field.per_second = ClampOutside(*limit);
    }
  }
  return field;
}

RetryAfterHeader ParseRetryAfter(const HttpResponse& response) {
  RetryAfterHeader field;
  if (response.status != http_status::kUnavailable) {
    return field;
  }
  for (const HttpHeader& header : response.headers) {
    if (!iequals(header.name, "Retry-After")) {
      continue;
    }
    field.present = true;
    const auto delay = ParseDelay(header.value);
    if (delay && (!field.delay || *delay > *field.delay)) {
      field.delay = delay;
    }
  }
  return field;
}

bool IsLeaving(const HeaderNames& names, const HttpResponse& response) {
  const auto leaving = FindHeader(response.headers, names.leaving);
  return !names.leaving.empty() && leaving && *leaving == "1";
}

bool IsErrorStatus(int status) {
  return status >= http_status::kInternalError ||
         status == http_status::kTooManyRequests;
}

bool IsNotRun(const HeaderNames& names, const HttpResponse& response) {
  return response.status == http_status::kMisdirected ||
         FindHeader(response.headers, names.not_run).has_value();
}

bool IsCompleteAnswer(const HeaderNames& names, const HttpResponse& response) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  const bool success =
      response.status >= kFirstSuccess && response.status < kFirstRedirect;
  return !success || names.signature.empty() ||
         FindHeader(response.headers, names.signature).has_value();
}

HttpResponse NotRunResponse(const std::string& reason, Duration retry_after) {
  return RefusalResponse(http_status::kUnavailable, reason, retry_after);
}

HttpResponse OverLimitResponse(Duration retry_after) {
  return RefusalResponse(http_status::kTooManyRequests, kAccountLimitReason,
                         retry_after);
}

}  // namespace pathcleat
