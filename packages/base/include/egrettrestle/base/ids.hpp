#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace egrettrestle {

/// A 64-bit number that cannot be mixed up with a number of another meaning.
template <typename Tag>
struct StrongNumber {
    std::uint64_t value = 0;

    friend bool operator==(StrongNumber left, StrongNumber right) { return left.value == right.value; }
    friend bool operator!=(StrongNumber left, StrongNumber right) { return left.value != right.value; }
    friend bool operator<(StrongNumber left, StrongNumber right) { return left.value < right.value; }
    friend bool operator>(StrongNumber left, StrongNumber right) { return left.value > right.value; }
    friend bool operator<=(StrongNumber left, StrongNumber right) { return left.value <= right.value; }
    friend bool operator>=(StrongNumber left, StrongNumber right) { return left.value >= right.value; }
};

/// Counts the membership views of one data centre. It only grows.
using Epoch = StrongNumber<struct EpochTag>;

/// Names one life of an entry VM: the epoch at which it joined. Zero stands for a VM that has not joined.
using Incarnation = StrongNumber<struct IncarnationTag>;

/// The name of an entry VM, as its settings state it.
using VmId = std::string;

/// The name of an upstream, as the platform's VM list states it.
using UpstreamId = std::string;

/// The name of a data centre, as the manifest states it.
using DataCentreId = std::string;

/// The 128-bit digest of (caller, submission id). It stands for a submission wherever no text is needed.
struct SubmissionKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const SubmissionKey& left, const SubmissionKey& right) { return left.high == right.high && left.low == right.low; }
    friend bool operator!=(const SubmissionKey& left, const SubmissionKey& right) { return !(left == right); }
};

/// Digests a caller's name and its submission id. Constant memory, linear in the length of the texts.
SubmissionKey submissionKey(std::string_view caller, std::string_view submission);

/// Digests the bytes of a job, so that two jobs under one submission id can be told apart.
std::uint64_t bodyDigest(std::string_view body);

/// Writes a key as 32 hexadecimal digits.
std::string toHex(const SubmissionKey& key);

/// Reads a key from 32 hexadecimal digits. Returns false, and leaves the key as it was, for any other text.
bool fromHex(std::string_view text, SubmissionKey& key);

/// Hashes a text with a seed; the weight of rendezvous hashing.
std::uint64_t rendezvousWeight(std::string_view text, std::uint64_t seed);

} // namespace egrettrestle

template <>
struct std::hash<egrettrestle::SubmissionKey> {
    std::size_t operator()(const egrettrestle::SubmissionKey& key) const noexcept { return key.low; }
};
