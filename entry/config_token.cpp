#include "entry/config_token.h"

#include <array>
#include <fmt/format.h>
#include <openssl/evp.h>

namespace geraniumhinge::entry {

std::string
token_digest(const std::string& token)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  EVP_Digest(
    token.data(), token.size(), bytes.data(), &size, EVP_sha256(), nullptr);
  std::string text;
  for (unsigned int i = 0; i < size; ++i)
    text += fmt::format("{:02x}", bytes[i]);
  return text;
}

} // namespace geraniumhinge::entry
