#include "gateway/base64.h"

#include <openssl/evp.h>

namespace geraniumhinge::gateway {

namespace {

constexpr std::size_t BYTES_PER_BLOCK = 3;
constexpr std::size_t CHARACTERS_PER_BLOCK = 4;
constexpr std::size_t MAX_PADDING = 2;

} // namespace

std::string
encode_base64(const std::string& bytes)
{
  std::size_t blocks = (bytes.size() + BYTES_PER_BLOCK - 1) / BYTES_PER_BLOCK;
  // EVP_EncodeBlock appends a zero byte to its output.
  std::string text(blocks * CHARACTERS_PER_BLOCK + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()),
                  static_cast<int>(bytes.size()));
  text.pop_back();
  return text;
}

std::optional<std::string>
decode_base64(std::string text)
{
  if (text.empty())
    return text;
  text.erase(text.find_last_not_of('=') + 1);
  std::size_t padding =
    (CHARACTERS_PER_BLOCK - text.size() % CHARACTERS_PER_BLOCK) %
    CHARACTERS_PER_BLOCK;
  if (text.empty() || padding > MAX_PADDING)
    return std::nullopt;
  text.append(padding, '=');
  std::string bytes(text.size(), '\0');
  int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    static_cast<int>(text.size()));
  if (size < 0)
    return std::nullopt;
  // EVP_DecodeBlock decodes the padding to zero bytes and counts them.
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

} // namespace geraniumhinge::gateway
