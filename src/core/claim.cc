#include "tamarackdrum/claim.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/view-json.h"

#include <algorithm>
#include <array>
#include <limits>

namespace tamarackdrum {
namespace {

constexpr std::array<const char *, 4> StateNames = {"claimed", "done",
                                                    "unknown", "released"};

std::int64_t runEndsMs(const ClaimRow &Row, const ClaimPolicy &Policy) {
  return Row.m_claimedAtMs + (Policy.m_claimWindow + Policy.m_maxRun).count();
}

std::optional<ClaimRow> decodeRow(const std::optional<TableRow> &Row) {
  if (!Row)
    return std::nullopt;
  const Result<ClaimRow> Decoded = decodeClaim(Row->m_value);
  if (Decoded)
    return Decoded.value();
  // A row that cannot be read stands against a run, and never expires.
  ClaimRow Unreadable;
  Unreadable.m_state = ClaimState::Unknown;
  Unreadable.m_claimedAtMs = std::numeric_limits<std::int64_t>::max() / 2;
  return Unreadable;
}

} // namespace

const char *toText(ClaimVerdict Value) noexcept {
  constexpr std::array<const char *, 6> Names = {
      "free", "own", "replay", "still-running", "unknown", "claim-unavailable"};
  return Names[static_cast<std::size_t>(Value)];
}

ClaimVerdict judgeClaim(const std::optional<ClaimRow> &Row,
                        const std::string &Token, std::int64_t NowMs,
                        const ClaimPolicy &Policy) {
  if (!Row)
    return ClaimVerdict::Free;
  if (Row->m_token == Token && Row->m_state == ClaimState::Claimed)
    return ClaimVerdict::Own;
  if (NowMs >= Row->m_claimedAtMs + Policy.m_retention.count())
    return ClaimVerdict::Free;
  switch (Row->m_state) {
  case ClaimState::Released:
    return ClaimVerdict::Free;
  case ClaimState::Done:
    return ClaimVerdict::Replay;
  case ClaimState::Claimed:
    return NowMs < runEndsMs(*Row, Policy) ? ClaimVerdict::StillRunning
                                           : ClaimVerdict::Unknown;
  case ClaimState::Unknown:
    break;
  }
  return ClaimVerdict::Unknown;
}

std::chrono::seconds retryAfter(const ClaimRow &Row, std::int64_t NowMs,
                                const ClaimPolicy &Policy) {
  const Millis Left(std::max<std::int64_t>(runEndsMs(Row, Policy) - NowMs, 1));
  return std::chrono::ceil<std::chrono::seconds>(Left);
}

std::string claimShardPrefix(unsigned Shard) {
  constexpr const char *Digits = "0123456789abcdef";
  std::string Out = "claim/";
  for (const unsigned Shift : {8U, 4U, 0U})
    Out += Digits[(Shard >> Shift) & 0xFU];
  return Out + "/";
}

std::string claimKey(const std::string &WorkClass, const std::string &Id) {
  const std::string Name = WorkClass + "/" + Id;
  return claimShardPrefix(static_cast<unsigned>(hashKey(Name) % ClaimShards)) +
         Name;
}

std::string encodeClaim(const ClaimRow &Row) {
  Json::Value Out;
  Out["state"] = StateNames[static_cast<std::size_t>(Row.m_state)];
  Out["token"] = Row.m_token;
  Out["claimed_at_ms"] = Json::Int64(Row.m_claimedAtMs);
  if (Row.m_state != ClaimState::Done)
    return toText(Out);
  Out["status"] = Row.m_answer.m_status;
  Out["content_type"] = Row.m_answer.m_contentType;
  Out["body"] = Row.m_answer.m_body;
  Out["body_kept"] = Row.m_answer.m_isBodyKept;
  return toText(Out);
}

Result<ClaimRow> decodeClaim(const std::string &Text) {
  const std::error_code Malformed = TableErrc::Malformed;
  const Result<Json::Value> Parsed = parseJson(Text);
  if (!Parsed || !Parsed.value().isObject())
    return Malformed;
  const Json::Value &Value = Parsed.value();
  try {
    const std::string State = Value["state"].asString();
    const auto Found = std::find(StateNames.begin(), StateNames.end(), State);
    if (Found == StateNames.end())
      return Malformed;
    ClaimRow Out;
    Out.m_state = static_cast<ClaimState>(Found - StateNames.begin());
    Out.m_token = Value["token"].asString();
    Out.m_claimedAtMs = Value["claimed_at_ms"].asInt64();
    if (Out.m_state == ClaimState::Done)
      Out.m_answer = {Value["status"].asUInt(),
                      Value["content_type"].asString(),
                      Value["body"].asString(), Value["body_kept"].asBool()};
    return Out;
  } catch (const Json::Exception &) {
    return Malformed;
  }
}

ClaimStep stepAfterWrite(ClaimAttempt &Attempt, WriteOutcome Outcome) {
  switch (Outcome) {
  case WriteOutcome::Committed:
    ++Attempt.m_baseVersion;
    Attempt.m_isUnsettled = false;
    return {ClaimAction::Finish, ClaimVerdict::Own};
  case WriteOutcome::Unavailable:
    return {ClaimAction::Finish, ClaimVerdict::Unavailable};
  case WriteOutcome::Unsettled:
    Attempt.m_isUnsettled = true;
    break;
  case WriteOutcome::Conflict:
    break;
  }
  return {ClaimAction::Read};
}

ClaimStep claimAfterRead(ClaimAttempt &Attempt,
                         const std::optional<TableRow> &Row, std::int64_t NowMs,
                         const ClaimPolicy &Policy) {
  const std::uint64_t Version = Row ? Row->m_version : 0;
  const ClaimVerdict Verdict =
      judgeClaim(decodeRow(Row), Attempt.m_wanted.m_token, NowMs, Policy);
  // A write on an older version can no longer be applied.
  if (Version != Attempt.m_baseVersion)
    Attempt.m_isUnsettled = false;
  Attempt.m_baseVersion = Version;
  if (Verdict == ClaimVerdict::Free)
    return {ClaimAction::Write};
  return {ClaimAction::Finish, Verdict};
}

ClaimStep settleAfterRead(ClaimAttempt &Attempt,
                          const std::optional<TableRow> &Row) {
  const std::optional<ClaimRow> Found = decodeRow(Row);
  const bool IsOwn = Found && Found->m_token == Attempt.m_wanted.m_token;
  const std::uint64_t Version = Row ? Row->m_version : 0;
  // The claim's own write may yet be applied; this write keeps it out.
  if (!IsOwn && Version == Attempt.m_baseVersion)
    return {ClaimAction::Write};
  if (!IsOwn || Found->m_state != ClaimState::Claimed)
    return {ClaimAction::Finish,
            IsOwn ? ClaimVerdict::Own : ClaimVerdict::Unknown};
  Attempt.m_baseVersion = Version;
  return {ClaimAction::Write};
}

ClaimAttempt makeSettlement(const ClaimAttempt &Claim, ClaimState State,
                            ClaimAnswer Answer) {
  ClaimAttempt Out = Claim;
  Out.m_wanted.m_state = State;
  Out.m_wanted.m_answer = std::move(Answer);
  if (Out.m_wanted.m_answer.m_body.size() > MaxClaimBody) {
    Out.m_wanted.m_answer.m_body.clear();
    Out.m_wanted.m_answer.m_isBodyKept = false;
  }
  return Out;
}

bool isInClaimWindow(const ClaimAttempt &Claim, std::int64_t NowMs,
                     const ClaimPolicy &Policy) {
  return NowMs <= Claim.m_wanted.m_claimedAtMs + Policy.m_claimWindow.count();
}

} // namespace tamarackdrum
