// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pathcleat {

/// @brief How a stand-in goes on after the bytes of its answer.
/// @ingroup lab
enum class AnswerEnd {
  kKeepOpen,           ///< waits until the host closes
  kClose,              ///< closes; the system resets if bytes are unread
  kReset,              ///< resets the connection
  kHalfCloseAndReset,  ///< closes its side, resets the connection later
  kHalfCloseAndRead,   ///< closes its side, reads the request to its end
  kRepeat,             ///< sends more bytes without end
};

/// @brief One answer as an instance in trouble sends it.
/// @ingroup lab
struct BrokenAnswer {
  std::string name;
  /// What is sent. kAnswerFields stands for the fields by which an answer is
  /// taken for the request's own.
  std::string bytes;
  AnswerEnd end = AnswerEnd::kClose;
  double read_share = 1;   ///< of the request's body, before the answer
  std::string repeated{};  ///< sent without end; for kRepeat
};

inline constexpr const char* kAnswerFields = "{fields}";

/// @brief Body of the broken answers that have one of a stated size. No caller
/// may receive it.
inline constexpr const char* kBrokenBody = "broken-answer";

/// @brief Answers that break off while the request is still being written. To a
/// request that the instance's machine has taken, some of them are whole.
std::vector<BrokenAnswer> AnswersCutDuringUpload();

/// @brief Answers that end, or stop, before they are whole.
std::vector<BrokenAnswer> CutAnswers();

/// @brief Answers whose first line or status is none.
std::vector<BrokenAnswer> AnswersWithoutStatus();

/// @brief Answers with a line in their head that is no field.
std::vector<BrokenAnswer> AnswersWithoutFieldName();

/// @brief Answers of which it is not clear where they end.
std::vector<BrokenAnswer> AnswersOfUnknownFraming();

/// @brief Answers without end.
std::vector<BrokenAnswer> EndlessAnswers();

/// @brief Those of the above that are broken for requests of any size, one
/// group for each.
std::vector<std::vector<BrokenAnswer>> BrokenAnswerGroups();

/// @brief Draws an answer that is broken for a request with a body of so many
/// bytes.
/// @param seed of the draws.
std::function<BrokenAnswer(std::size_t)> DrawBrokenAnswers(std::uint64_t seed);

}  // namespace pathcleat
