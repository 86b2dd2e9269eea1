Feature: A request that ends its targets is not sent to more of them
  Guards against one request that takes target after target down, wherever it arrives.

  @known_red
  Scenario Outline: An entry refuses a request under which three targets have ended
    Given a gateway with these targets: cut_in_head,cut_in_head,cut_in_head,cut_in_head,cut_in_head,cut_in_head
    When a caller sends it the same <request> 8 times
    Then targets have run it 3 times, and the last caller got status 503 with a Retry-After header

    Examples:
      | request  |
      | lookup   |
      | transfer |
