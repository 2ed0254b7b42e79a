// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

/// @brief HTTP status codes that pathcleat uses.
/// @ingroup http
namespace pathcleat::http_status {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kPayloadTooLarge = 413;
constexpr int kMisdirected = 421;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kHeaderTooLarge = 431;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace pathcleat::http_status
