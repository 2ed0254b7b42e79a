// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/wire/seal.hpp"

#include <QMessageAuthenticationCode>
#include <QRandomGenerator>

namespace pathcleat {
namespace {

QByteArray View(std::string_view bytes) {
  return QByteArray::fromRawData(bytes.data(),
                                 static_cast<qsizetype>(bytes.size()));
}

QByteArray Mac(std::string_view key,
               std::string_view context,
               std::string_view payload) {
  QMessageAuthenticationCode code(QCryptographicHash::Sha256, View(key));
  code.addData(View(context));
  code.addData(View(payload));
  return code.result().left(static_cast<qsizetype>(kSealBytes));
}

// Compares without telling by its time where the first difference is.
bool Equal(const QByteArray& a, std::string_view b) {
  unsigned difference = 0;
  for (std::size_t i = 0; i < kSealBytes; ++i) {
    difference |= static_cast<unsigned char>(a[static_cast<qsizetype>(i)]) ^
                  static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace

std::string Seal(std::string_view key,
                 std::string_view context,
                 std::string_view payload) {
  std::string sealed = Mac(key, context, payload).toStdString();
  sealed.append(payload);
  return sealed;
}

Result<std::string_view> Unseal(std::string_view key,
                                std::string_view context,
                                std::string_view sealed) {
  const Error error{ErrorCode::kUnauthorized, "check seal", "peer",
                    "the message's MAC is wrong or missing"};
  if (sealed.size() < kSealBytes) {
    return Fail(error);
  }
  const std::string_view payload = sealed.substr(kSealBytes);
  if (!Equal(Mac(key, context, payload), sealed.substr(0, kSealBytes))) {
    return Fail(error);
  }
  return payload;
}

std::string RandomBytes(std::size_t count) {
  std::string bytes;
  while (bytes.size() < count) {
    const quint64 word = QRandomGenerator::system()->generate64();
    bytes.append(reinterpret_cast<const char*>(&word), sizeof word);
  }
  bytes.resize(count);
  return bytes;
}

std::string RandomToken() {
  constexpr std::size_t kTokenBytes = 16;
  return QByteArray::fromStdString(RandomBytes(kTokenBytes))
      .toHex()
      .toStdString();
}

}  // namespace pathcleat
